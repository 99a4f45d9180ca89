"""Record what a request waits for until its response begins."""

import contextlib
import enum
from collections.abc import Callable, Iterator
from typing import TypedDict

_DIGITS = 3


class Wait(enum.Enum):
    """Name what a request in progress waits for."""

    TARGET = 'target'
    CONNECTION = 'connection'
    HEAD = 'head'
    BODY = 'body'
    RUN_END = 'end of run'


class WaitFields(TypedDict):
    """Describe the waits of a request; times are seconds from its arrival.

    A time is ``None`` if the request did not get so far. ``expected_s`` is the
    time to the first token that was estimated when the request was last sent,
    ``None`` without an estimate, and ``kept_tokens`` what the target was
    expected to hold of the prompt. ``longest_pause_s`` is the longest time
    between two parts of the response.
    """

    model_wait_s: float
    sent_after_s: float | None
    resent_after_s: float | None
    response_after_s: float | None
    longest_pause_s: float
    expected_s: float | None
    kept_tokens: int
    is_on_time: bool


class Timeline:
    """Record the steps of one request; times are those of the event loop.

    ``waits_for`` names what the request waits for now.
    """

    def __init__(self, received_at: float) -> None:
        self.waits_for = Wait.TARGET
        self._received_at = received_at
        self._model_wait_s = float(0)
        self._sent_after_s: list[float] = []
        self._response_after_s: float | None = None
        self._newest_part_at = received_at
        self._longest_pause_s = float(0)
        self.expected_s: float | None = None
        self.kept_tokens = 0

    @contextlib.contextmanager
    def time_model_wait(self, read_time: Callable[[], float]) -> Iterator[None]:
        """Add the seconds for which no engine can use the model."""
        began_at = read_time()
        try:
            yield
        finally:
            self._model_wait_s += read_time() - began_at

    def record_sending(self, now: float) -> None:
        """Record that the request is sent to a target."""
        self._sent_after_s.append(round(now - self._received_at, _DIGITS))

    def record_response(self, now: float) -> None:
        """Record that a part of a target's response is passed on."""
        if self._response_after_s is None:
            self._response_after_s = round(now - self._received_at, _DIGITS)
        else:
            pause_s = now - self._newest_part_at
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._newest_part_at = now

    def record_estimate(self, seconds: float, kept_tokens: int) -> None:
        """Record what is expected of the target that gets the request now."""
        self.expected_s = round(seconds, _DIGITS)
        self.kept_tokens = kept_tokens

    def describe(self, objective_s: float) -> WaitFields:
        """Return the log fields of a request with this objective."""
        sent = self._sent_after_s
        began = self._response_after_s
        return WaitFields(
            model_wait_s=round(self._model_wait_s, _DIGITS),
            sent_after_s=sent[0] if sent else None,
            resent_after_s=sent[-1] if len(sent) > 1 else None,
            response_after_s=began,
            longest_pause_s=round(self._longest_pause_s, _DIGITS),
            expected_s=self.expected_s,
            kept_tokens=self.kept_tokens,
            is_on_time=began is not None and began <= objective_s,
        )
