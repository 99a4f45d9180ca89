"""Decide how long watches wait and when the next call begins."""

import abc

# The longest wait that the object API accepts; each wait is one billed call.
MAX_WAIT_S = 30.0


class WatchPacer(abc.ABC):
    """Decide when a watch makes its next call and how long that one waits."""

    @abc.abstractmethod
    def wait_s(self) -> float:
        """Return how long the next call waits for changes, in seconds."""

    @abc.abstractmethod
    async def pause(self, started_at: float) -> None:
        """Wait after a response whose call began at ``started_at``."""

    async def pause_after_failure(self) -> None:
        """Wait after a failed call, in addition to the back-off."""


class ContinuousPacer(WatchPacer):
    """Watch without pauses."""

    def __init__(self, wait_s: float = MAX_WAIT_S) -> None:
        self._wait_s = wait_s

    def wait_s(self) -> float:
        """Return the same wait for each call."""
        return self._wait_s

    async def pause(self, started_at: float) -> None:
        """Begin the next call at once."""
