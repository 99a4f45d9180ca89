"""Define the errors of targets beyond those that all subpackages share."""

from cassiarail.core.exceptions import TargetError
from cassiarail.core.verdict import Verdict


class StreamGapError(TargetError):
    """Report a token event that doesn't follow the last one delivered."""

    error_id = 'CR5006'
    code = 'stream_gap'


class StreamUnknownError(TargetError):
    """Report an engine that doesn't hold the stream to resume."""

    error_id = 'CR5007'
    code = 'stream_unknown'


class StreamBrokenError(TargetError):
    """Report an engine that ended a stream with an error event."""

    error_id = 'CR5008'
    code = 'stream_broken'


class TargetFailedError(TargetError):
    """Report an answer of a target that says it failed, status 5xx."""

    error_id = 'CR5009'
    code = 'target_failed'


class TargetRejectedError(TargetError):
    """Report an answer that no other target would give differently."""

    error_id = 'CR5010'
    code = 'target_rejected'
    default_verdict = Verdict.RAN

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict,
        http_status: int,
    ) -> None:
        super().__init__(message, verdict=verdict)
        # Callers see the status that the target chose.
        self.status = http_status  # type: ignore[misc]


class WrongAnswerError(TargetError):
    """Report an answer that belongs to another request."""

    error_id = 'CR5011'
    code = 'wrong_answer'


class ResponseTooLargeError(TargetError):
    """Report an answer above the size that the gateway holds."""

    error_id = 'CR5012'
    code = 'answer_too_large'
    default_verdict = Verdict.RAN
