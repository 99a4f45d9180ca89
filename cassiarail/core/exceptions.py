"""Define the exception hierarchy.

Each class has a stable id (``CRnnnn``), a machine-readable code, an HTTP
status and a default verdict, which can be overridden when raising. Ranges:
1xxx settings, 2xxx declarations, 3xxx requests, 4xxx store, 5xxx targets,
6xxx peers, 7xxx control, 9xxx invariants.
"""

from typing import ClassVar, NotRequired, TypedDict

from cassiarail.core.verdict import Verdict


class ErrorBody(TypedDict):
    """Body of an error response to a caller or an operator."""

    id: str
    code: str
    message: str
    verdict: str
    hint: NotRequired[str]
    retry_after_s: NotRequired[float]


class CassiarailError(Exception):
    """Base of all errors of the project."""

    error_id: ClassVar[str] = 'CR0001'
    code: ClassVar[str] = 'internal'
    status: ClassVar[int] = 500
    default_verdict: ClassVar[Verdict] = Verdict.NOT_RUN
    default_hint: ClassVar[str | None] = None

    def __init__(
        self,
        message: str,
        *,
        verdict: Verdict | None = None,
        hint: str | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.verdict = verdict or self.default_verdict
        self.hint = hint or self.default_hint
        self.retry_after_s = retry_after_s

    def describe(self) -> ErrorBody:
        """Return the body of an error response."""
        body = ErrorBody(
            id=self.error_id,
            code=self.code,
            message=self.message,
            verdict=self.verdict.value,
        )
        if self.hint is not None:
            body['hint'] = self.hint
        if self.retry_after_s is not None:
            body['retry_after_s'] = self.retry_after_s
        return body


class SettingsError(CassiarailError):
    """Report settings that were rejected."""

    error_id = 'CR1001'
    code = 'settings_rejected'


class DeclarationError(CassiarailError):
    """Report declarations that were rejected."""

    error_id = 'CR2001'
    code = 'declarations_rejected'


class RequestError(CassiarailError):
    """Base of the errors caused by a caller's request."""

    error_id = 'CR3001'
    code = 'bad_request'
    status = 400


class StoreError(CassiarailError):
    """Base of the errors of the object API."""

    error_id = 'CR4001'
    code = 'store_error'
    status = 503


class StoreUnavailableError(StoreError):
    """Report a call that certainly had no effect on the object API."""

    error_id = 'CR4002'
    code = 'store_unavailable'


class StoreOutcomeUnknownError(StoreError):
    """Report a write without a response; it may have taken effect."""

    error_id = 'CR4003'
    code = 'store_outcome_unknown'
    default_verdict = Verdict.MAY_HAVE_RUN


class VersionConflictError(StoreError):
    """Report a conditional write whose expected version was outdated."""

    error_id = 'CR4004'
    code = 'version_conflict'
    status = 409


class ObjectTooLargeError(StoreError):
    """Report an object above the size limit of the object API."""

    error_id = 'CR4005'
    code = 'object_too_large'
    status = 413


class WatchExpiredError(StoreError):
    """Report a watch whose start revision is no longer retained."""

    error_id = 'CR4006'
    code = 'watch_expired'
    status = 410


class TargetError(CassiarailError):
    """Base of the errors of targets."""

    error_id = 'CR5001'
    code = 'target_error'
    status = 502
    default_verdict = Verdict.MAY_HAVE_RUN


class ConnectFailedError(TargetError):
    """Report a connection that could not be opened.

    ``is_refused`` is set if nothing listens on the address.
    """

    error_id = 'CR5002'
    code = 'connect_failed'
    default_verdict = Verdict.NOT_RUN

    def __init__(self, message: str, *, is_refused: bool = False) -> None:
        super().__init__(message)
        self.is_refused = is_refused


class ConnectionLostError(TargetError):
    """Report a connection that failed after bytes may have been sent."""

    error_id = 'CR5003'
    code = 'connection_lost'


class IdleTimeoutError(TargetError):
    """Report a connection without data for longer than the idle timeout."""

    error_id = 'CR5004'
    code = 'idle_timeout'
    status = 504


class TargetRefusedError(TargetError):
    """Report a target that refused a request before starting it."""

    error_id = 'CR5005'
    code = 'target_refused'
    status = 503
    default_verdict = Verdict.NOT_RUN

    def __init__(self, message: str, *, reason: str = 'refused') -> None:
        super().__init__(message)
        self.reason = reason


class PeerError(CassiarailError):
    """Base of the errors between the project's own processes."""

    error_id = 'CR6001'
    code = 'peer_error'
    status = 503


class PeerRejectedError(PeerError):
    """Report a peer message that failed authentication or validation."""

    error_id = 'CR6002'
    code = 'peer_rejected'
    status = 403


class ControlError(CassiarailError):
    """Base of the errors of placement, memory ledger and orders."""

    error_id = 'CR7001'
    code = 'control_error'


class OvercommittedMemoryError(ControlError):
    """Report a reservation beyond the memory of an accelerator."""

    error_id = 'CR7002'
    code = 'memory_overpromised'


class StaleFenceError(ControlError):
    """Report an action under a lease that another holder has acquired."""

    error_id = 'CR7003'
    code = 'stale_fence'
    status = 409


class PlanTooLargeError(ControlError):
    """Report declarations that don't fit in the declared memory."""

    error_id = 'CR7004'
    code = 'plan_too_large'


class InvariantError(CassiarailError):
    """Report an action refused because it would break an invariant."""

    error_id = 'CR9001'
    code = 'invariant_broken'
