"""Define the errors of communication between peers."""

from cassiarail.core.exceptions import PeerError


class PeerUnavailableError(PeerError):
    """Report a peer that refused or closed the connection."""

    error_id = 'CR6003'
    code = 'peer_unavailable'


class PeerTimeoutError(PeerError):
    """Report a peer that didn't respond within the timeout."""

    error_id = 'CR6004'
    code = 'peer_timeout'
    status = 504
