"""Define the errors of targets that only the gateway uses."""

from cassiarail.core.exceptions import TargetError
from cassiarail.core.verdict import Verdict


class StreamGapError(TargetError):
    """Report a token event that doesn't follow the last delivered one."""

    error_id = 'CR5006'
    code = 'stream_gap'


class StreamUnknownError(TargetError):
    """Report an engine that doesn't have the stream to resume."""

    error_id = 'CR5007'
    code = 'stream_unknown'


class StreamBrokenError(TargetError):
    """Report an engine that ended a stream with an error event."""

    error_id = 'CR5008'
    code = 'stream_broken'


class TargetFailedError(TargetError):
    """Report a response with status 5xx."""

    error_id = 'CR5009'
    code = 'target_failed'


class TargetRejectedError(TargetError):
    """Report a rejected request that any other target would reject too."""

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
        # Callers receive the status of the target's response.
        self.status = http_status  # type: ignore[misc]


class MismatchedResponseError(TargetError):
    """Report a response that belongs to another request."""

    error_id = 'CR5011'
    code = 'wrong_answer'


class ResponseTooLargeError(TargetError):
    """Report a response above the gateway's size limit."""

    error_id = 'CR5012'
    code = 'answer_too_large'
    default_verdict = Verdict.RAN
