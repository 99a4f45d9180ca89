"""Tell outages of the object API from single calls that fail."""

from collections.abc import Callable

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.store.events import OUTAGE_ENDED


class OutageDetector:
    """Note each answer, and tell when one ends an outage.

    Entries that others keep alive lapse only in an outage that lasts as long
    as several of their heartbeats; a call that failed or a watch that was cut
    in between makes none lapse.
    """

    def __init__(
        self,
        clock: Clock,
        lapse_s: float,
        on_return: Callable[[], None],
    ) -> None:
        """Call ``on_return`` at an answer after ``lapse_s`` without any."""
        self._clock = clock
        self._lapse_s = lapse_s
        self._on_return = on_return
        self._answered_at = clock.monotonic()

    def record_success(self) -> None:
        """Note that a call has succeeded."""
        now = self._clock.monotonic()
        silent_s = now - self._answered_at
        self._answered_at = now
        if silent_s >= self._lapse_s:
            emit_event(OUTAGE_ENDED, silent_s=silent_s)
            self._on_return()
