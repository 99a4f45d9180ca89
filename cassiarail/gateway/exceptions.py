"""Define the errors that the gateway returns to callers.

All of these are raised before a byte reaches a target unless the class says
otherwise, so their verdict is ``not-run``.
"""

from cassiarail.core.exceptions import RequestError
from cassiarail.core.verdict import Verdict


class BodyTooLargeError(RequestError):
    """Report a body above the limit of the gateway."""

    error_id = 'CR3002'
    code = 'body_too_large'
    status = 413


class InvalidJsonError(RequestError):
    """Report a body that is not valid JSON."""

    error_id = 'CR3003'
    code = 'invalid_json'


class UnknownModelError(RequestError):
    """Report a model that no declaration names."""

    error_id = 'CR3004'
    code = 'unknown_model'
    status = 404


class UnknownAdapterError(RequestError):
    """Report an adapter that the model doesn't declare."""

    error_id = 'CR3005'
    code = 'unknown_adapter'
    status = 404


class UnauthenticatedError(RequestError):
    """Report a missing or unknown key."""

    error_id = 'CR3006'
    code = 'unauthenticated'
    status = 401
    default_hint = "send 'Authorization: Bearer <key>' with a declared key"


class ForbiddenError(RequestError):
    """Report a key that may not use the model or service."""

    error_id = 'CR3007'
    code = 'forbidden'
    status = 403


class InvalidFieldError(RequestError):
    """Report a field that is missing, unknown or of a wrong type or range."""

    error_id = 'CR3008'
    code = 'invalid_field'
    status = 422


class InvalidTimeoutError(RequestError):
    """Report a timeout header that is not a positive number."""

    error_id = 'CR3009'
    code = 'invalid_timeout'
    default_hint = 'X-Timeout-Ms takes whole milliseconds above zero'


class UnknownServiceError(RequestError):
    """Report a service that no declaration names as plain."""

    error_id = 'CR3016'
    code = 'unknown_service'
    status = 404


class UnknownRequestError(RequestError):
    """Report a request that is not in progress for this caller."""

    error_id = 'CR3017'
    code = 'unknown_request'
    status = 404
    default_hint = 'the request is finished, unknown or of another caller'


class DrainingError(RequestError):
    """Report a gateway that is shutting down."""

    error_id = 'CR3018'
    code = 'draining'
    status = 503


class NoTargetError(RequestError):
    """Report that no live target has the model or service."""

    error_id = 'CR3019'
    code = 'no_target'
    status = 503


class DeadlineExceededError(RequestError):
    """Report a request whose deadline has passed."""

    error_id = 'CR3020'
    code = 'deadline_exceeded'
    status = 504


class AttemptsFailedError(RequestError):
    """Report that every permitted attempt failed.

    The verdict is the strongest one of all attempts.
    """

    error_id = 'CR3021'
    code = 'attempts_failed'
    status = 502


class BodyTimeoutError(RequestError):
    """Report a body that was not received in time."""

    error_id = 'CR3022'
    code = 'body_timeout'
    status = 408


class CancelledRequestError(RequestError):
    """Report a request that its caller cancelled."""

    error_id = 'CR3023'
    code = 'cancelled'
    status = 409
    default_verdict = Verdict.MAY_HAVE_RUN


class HeadersTooLargeError(RequestError):
    """Report headers above the limit of the gateway."""

    error_id = 'CR3024'
    code = 'headers_too_large'
    status = 431


class NotFoundError(RequestError):
    """Report a path or method that the gateway doesn't serve."""

    error_id = 'CR3025'
    code = 'not_found'
    status = 404


class InvalidPathError(RequestError):
    """Report a service path that a target could interpret differently."""

    error_id = 'CR3026'
    code = 'invalid_path'


class IncompleteBodyError(RequestError):
    """Report a body that is incomplete because the caller disconnected."""

    error_id = 'CR3027'
    code = 'incomplete_body'


class UnreadRequestError(RequestError):
    """Report a request that wasn't read for lack of memory, or by a stop."""

    error_id = 'CR3028'
    code = 'unread_request'
    status = 503
