"""Define clocks behind an interface, so that tests can inject time."""

import abc
import datetime as dt
import time

import anyio

MANUAL_START = dt.datetime.fromisoformat('2026-01-01T00:00:00+00:00')


class Clock(abc.ABC):
    """Provide the time of day, monotonic time and sleep."""

    @abc.abstractmethod
    def now(self) -> dt.datetime:
        """Return the time of day in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class LoopClock(Clock):
    """Read monotonic time from the running event loop.

    On a virtual-time event loop, deadlines, sleeps and this clock advance
    together.
    """

    def __init__(self, started_at: dt.datetime | None = None) -> None:
        """Set the initial time of day; ``None`` uses the system time."""
        self._anchor = started_at
        self._anchor_monotonic: float | None = None

    def now(self) -> dt.datetime:
        """Return the time of day in UTC."""
        if self._anchor is None:
            return dt.datetime.now(dt.UTC)
        if self._anchor_monotonic is None:
            self._anchor_monotonic = self.monotonic()
        elapsed = self.monotonic() - self._anchor_monotonic
        return self._anchor + dt.timedelta(seconds=elapsed)

    def monotonic(self) -> float:
        """Return the time of the running event loop in seconds."""
        return anyio.current_time()

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds of event loop time."""
        await anyio.sleep(seconds)


class BootClock(LoopClock):
    """Include the time for which the host was suspended.

    Use this clock to time what other hosts may do while this process is
    suspended, such as taking over a lease.
    """

    def monotonic(self) -> float:
        """Return seconds since the host booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Keep time constant until it is advanced explicitly."""

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
