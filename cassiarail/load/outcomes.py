"""Hold what callers were told."""

import enum
from typing import NamedTuple

from cassiarail.core.verdict import Verdict, combine_verdicts
from cassiarail.load.generator import PlannedRequest

QUARANTINED = 'quarantined'


class AnswerFault(enum.Enum):
    """Name what can be wrong with an answer that began.

    ``CUT`` means that the answer ended without being shown as whole;
    ``BROKEN`` that a partial or repeated one was.
    """

    NONE = 'none'
    CUT = 'cut'
    BROKEN = 'broken'
    MISDELIVERED = 'misdelivered'


class Attempt(NamedTuple):
    """Describe one sending of a request; times are monotonic seconds.

    ``is_complete`` tells that the whole and correct answer arrived.
    """

    gateway: str
    began_at: float
    ended_at: float
    verdict: Verdict
    request_id: str = ''
    status: int = 0
    error_code: str = ''
    is_complete: bool = False
    fault: AnswerFault = AnswerFault.NONE
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
    def is_answered(self) -> bool:
        """Tell whether the caller has the complete answer."""
        return self.last.is_complete

    @property
    def verdict(self) -> Verdict:
        """Return the strongest verdict of all attempts."""
        return combine_verdicts(part.verdict for part in self.attempts)

    @property
    def first_token_s(self) -> float | None:
        """Return the time from the intended start to the first token.

        Counting from the intended start corrects coordinated omission.
        """
        arrived_at = self.last.first_token_at
        return None if arrived_at is None else arrived_at - self.intended_at

    @property
    def seconds(self) -> float:
        """Return the time from the intended start to the end."""
        return self.last.ended_at - self.intended_at

    def meets(self, first_token_s: float, inter_token_s: float) -> bool:
        """Tell whether the complete answer kept the latency objective."""
        if not self.is_answered:
            return False
        allowed = first_token_s + inter_token_s * self.last.tokens
        first = self.first_token_s
        on_time = first is None or first <= first_token_s
        return on_time and self.seconds <= allowed
