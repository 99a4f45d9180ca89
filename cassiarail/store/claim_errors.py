"""Define the errors with which non-idempotent calls are refused.

They are request errors, defined next to the claims that raise them.
"""

from cassiarail.core.exceptions import RequestError
from cassiarail.core.verdict import Verdict


class InvalidIdempotencyKeyError(RequestError):
    """Report a missing or malformed idempotency key."""

    error_id = 'CR3010'
    code = 'invalid_idempotency_key'
    default_hint = 'send a new UUID version 7 as Idempotency-Key'


class IdempotencyKeyTimeError(RequestError):
    """Report a key whose timestamp is outside the accepted window."""

    error_id = 'CR3011'
    code = 'idempotency_key_time'
    status = 422
    default_hint = 'keys are accepted for 24 h after the time they carry'


class IdempotencyKeyReusedError(RequestError):
    """Report a key that was sent before with another request."""

    error_id = 'CR3012'
    code = 'idempotency_key_reused'
    status = 422


class UnresolvedClaimError(RequestError):
    """Report an earlier call with the same key and an unknown outcome."""

    error_id = 'CR3013'
    code = 'call_unresolved'
    status = 409
    default_verdict = Verdict.MAY_HAVE_RUN
    default_hint = 'look the record up at the service before a new key is used'


class OutcomeNotRecordedError(RequestError):
    """Report an earlier call that ran but has no recorded response.

    Its response was too large to record.
    """

    error_id = 'CR3014'
    code = 'outcome_not_kept'
    status = 409
    default_verdict = Verdict.RAN


class ClaimUnavailableError(RequestError):
    """Report that the store could not confirm the claim of a call."""

    error_id = 'CR3015'
    code = 'claim_unavailable'
    status = 503
