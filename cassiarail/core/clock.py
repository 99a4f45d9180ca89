"""Give time as an interface, so that tests can inject it."""

import abc
import datetime as dt
import time

import anyio

MANUAL_START = dt.datetime.fromisoformat('2026-01-01T00:00:00+00:00')


class Clock(abc.ABC):
    """Give the time of day, monotonic time and sleep."""

    @abc.abstractmethod
    def now(self) -> dt.datetime:
        """Return the time of day in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds from an arbitrary start; never goes back."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class LoopClock(Clock):
    """Take monotonic time from the running event loop.

    On a virtual-time event loop all deadlines, sleeps and readings of this
    clock move together.
    """

    def __init__(self, started_at: dt.datetime | None = None) -> None:
        """Anchor the time of day; ``None`` reads it from the system."""
        self._anchor = started_at
        self._anchor_monotonic: float | None = None

    def now(self) -> dt.datetime:
        """Return the time of day in UTC."""
        if self._anchor is None:
            return dt.datetime.now(dt.UTC)
        if self._anchor_monotonic is None:
            self._anchor_monotonic = self.monotonic()
        passed = self.monotonic() - self._anchor_monotonic
        return self._anchor + dt.timedelta(seconds=passed)

    def monotonic(self) -> float:
        """Return the time of the running event loop in seconds."""
        return anyio.current_time()

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds of the event loop."""
        await anyio.sleep(seconds)


class BootClock(LoopClock):
    """Count the time for which the host was suspended, too.

    What others may do while this process stands still, such as taking over
    a lease, has to be timed by this clock.
    """

    def monotonic(self) -> float:
        """Return seconds since the host booted, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Hold time still until it is advanced."""

    def __init__(self, started_at: dt.datetime | None = None) -> None:
        self._now = started_at or MANUAL_START
        self._monotonic = float(0)

    def now(self) -> dt.datetime:
        """Return the time of day in UTC."""
        return self._now

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self._monotonic

    async def sleep(self, seconds: float) -> None:
        """Advance the clock and let other tasks run."""
        self.advance(seconds)
        await anyio.lowlevel.checkpoint()

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._monotonic += seconds
        self._now += dt.timedelta(seconds=seconds)
