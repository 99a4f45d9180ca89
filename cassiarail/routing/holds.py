"""Hold back requests from targets that asked for a pause.

A target that refuses a request may say when it wants the next one. Within that
time nothing is sent to it, and it doesn't count as failed.
"""

import random
from collections.abc import Hashable, Iterable

from cassiarail.core.clock import Clock

# A longer pause is taken for a mistake of the target, which would otherwise
# be lost for callers. It can ask again.
MAX_PAUSE_S = 60.0
# Hosts return at different times: after the pause, by up to this share of it.
_SPREAD = 0.1
_MAX_SPREAD_S = 0.5


class TargetHolds:
    """Remember until when each target wants no requests from this host."""

    def __init__(self, clock: Clock, generator: random.Random) -> None:
        self._clock = clock
        self._generator = generator
        self._held_until: dict[Hashable, float] = {}

    def hold(self, target: Hashable, pause_s: float) -> float:
        """Begin a pause; return its length.

        A pause that is in force doesn't become shorter.
        """
        pause_s = min(pause_s, MAX_PAUSE_S)
        spread_s = min(_MAX_SPREAD_S, pause_s * _SPREAD)
        until = self._clock.monotonic() + pause_s
        until += self._generator.random() * spread_s
        known = self._held_until.get(target, until)
        self._held_until[target] = max(until, known)
        return pause_s

    def remaining_s(self, target: Hashable) -> float:
        """Return the seconds until requests may be sent, or 0."""
        until = self._held_until.get(target)
        if until is None:
            return 0
        remaining_s = until - self._clock.monotonic()
        if remaining_s <= 0:
            self._held_until.pop(target)
            return 0
        return remaining_s

    def is_held(self, target: Hashable) -> bool:
        """Return whether a target wants no requests now."""
        return bool(self._held_until) and self.remaining_s(target) > 0

    def retain(self, targets: Iterable[Hashable]) -> None:
        """Forget all targets but the named ones."""
        retained = set(targets)
        for target in list(self._held_until):
            if target not in retained:
                self._held_until.pop(target)
