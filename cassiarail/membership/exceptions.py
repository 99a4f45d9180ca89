"""Define the errors between peers."""

from cassiarail.core.exceptions import PeerError


class PeerUnavailableError(PeerError):
    """Report a peer that refused the connection or broke it."""

    error_id = 'CR6003'
    code = 'peer_unavailable'


class PeerTimeoutError(PeerError):
    """Report a peer that didn't answer within the time-out."""

    error_id = 'CR6004'
    code = 'peer_timeout'
    status = 504
