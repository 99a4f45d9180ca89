"""Define the time limits of attempts."""

from typing import NamedTuple


class AttemptRules(NamedTuple):
    """Define time limits of an attempt, in seconds.

    A connection that was idle for longer than ``fresh_idle_s`` may have been
    closed by its target, so a request that must not run twice opens a new one.
    A repeatable request is sent to another target if no response head arrives
    within ``first_response_s`` or ``objective_factor`` times the route's
    objective, whichever is longer. A stream is resumed at another target
    after a pause between complete events of ``stall_s`` or ``pause_factor``
    times the route's pause, whichever is longer.
    """

    fresh_idle_s: float = 1.0
    first_response_s: float = 1.2
    objective_factor: float = 2.5
    pause_factor: float = 6.0
    stall_s: float = 1.5
