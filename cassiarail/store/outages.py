"""Distinguish outages of the object API from single failed calls."""

from collections.abc import Callable

from cassiarail.core.clock import Clock
from cassiarail.core.events import emit_event
from cassiarail.store.events import OUTAGE_ENDED


class OutageDetector:
    """Record successful calls and detect the end of an outage.

    Entries that other processes renew expire only in an outage that lasts for
    several of their heartbeats; no entry expires because of a single failed
    call or an interrupted watch.
    """

    def __init__(
        self,
        clock: Clock,
        min_outage_s: float,
        on_recovery: Callable[[], None],
    ) -> None:
        """Call ``on_recovery`` after an outage of at least ``min_outage_s``."""
        self._clock = clock
        self._min_outage_s = min_outage_s
        self._on_recovery = on_recovery
        self._last_success_at = clock.monotonic()

    def record_success(self) -> None:
        """Record that a call has succeeded."""
        now = self._clock.monotonic()
        outage_s = now - self._last_success_at
        self._last_success_at = now
        if outage_s >= self._min_outage_s:
            emit_event(OUTAGE_ENDED, silent_s=outage_s)
            self._on_recovery()
