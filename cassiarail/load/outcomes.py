"""Define the outcomes of requests as callers saw them."""

import enum
from typing import NamedTuple

from cassiarail.core.verdict import Verdict, combine_verdicts
from cassiarail.load.generator import PlannedRequest

QUARANTINED = 'quarantined'


class ResponseFault(enum.Enum):
    """Enumerate the faults of a response that has started.

    ``TRUNCATED`` means that the response ended early and is recognisable as
    incomplete; ``BROKEN`` that tokens were missing or repeated in a response
    presented as complete.
    """

    NONE = 'none'
    TRUNCATED = 'cut'
    BROKEN = 'broken'
    MISDELIVERED = 'misdelivered'


class Attempt(NamedTuple):
    """Describe one attempt of a request; times are monotonic seconds.

    ``is_complete`` states that the complete and correct response arrived.
    """

    gateway: str
    started_at: float
    ended_at: float
    verdict: Verdict
    request_id: str = ''
    status: int = 0
    error_code: str = ''
    is_complete: bool = False
    fault: ResponseFault = ResponseFault.NONE
    tokens: int = 0
    first_token_at: float | None = None


class Outcome(NamedTuple):
    """Describe a logical request with all its attempts."""

    planned: PlannedRequest
    intended_at: float
    attempts: tuple[Attempt, ...]

    @property
    def last(self) -> Attempt:
        """Return the attempt that decided the outcome."""
        return self.attempts[-1]

    @property
    def is_successful(self) -> bool:
        """Return whether the caller received the complete response."""
        return self.last.is_complete

    @property
    def verdict(self) -> Verdict:
        """Return the strongest verdict of all attempts."""
        return combine_verdicts(attempt.verdict for attempt in self.attempts)

    @property
    def first_token_s(self) -> float | None:
        """Return the time from the intended start to the first token.

        Counting from the intended start avoids coordinated omission.
        """
        arrived_at = self.last.first_token_at
        return None if arrived_at is None else arrived_at - self.intended_at

    @property
    def seconds(self) -> float:
        """Return the time from the intended start to the end."""
        return self.last.ended_at - self.intended_at

    def meets(self, first_token_s: float, inter_token_s: float) -> bool:
        """Return whether the complete response met the latency objective."""
        if not self.is_successful:
            return False
        allowed_s = first_token_s + inter_token_s * self.last.tokens
        first = self.first_token_s
        is_first_on_time = first is None or first <= first_token_s
        return is_first_on_time and self.seconds <= allowed_s
