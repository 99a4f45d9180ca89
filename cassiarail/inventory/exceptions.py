"""Define the errors of the platform's services."""

from cassiarail.core.exceptions import CassiarailError


class PlatformError(CassiarailError):
    """Report a platform service that failed or sent an invalid response."""

    error_id = 'CR6101'
    code = 'platform_unavailable'
    status = 503


class WeightsMissingError(PlatformError):
    """Report weights that the weight store doesn't have."""

    error_id = 'CR6102'
    code = 'weights_missing'
    status = 404


class WeightStoreBusyError(PlatformError):
    """Report a weight store that has reached its rate limit."""

    error_id = 'CR6103'
    code = 'weight_store_busy'
    status = 429
