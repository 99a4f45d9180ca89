"""Define the errors of the limits."""

from cassiarail.core.exceptions import RequestError


class OverloadedError(RequestError):
    """Report a request refused because it would miss its deadline."""

    error_id = 'CR3101'
    code = 'overloaded'
    status = 503


class FairShareError(OverloadedError):
    """Report a refusal to a caller that queues more than its fair share."""

    error_id = 'CR3102'
    code = 'fair_share_exceeded'
    status = 429
