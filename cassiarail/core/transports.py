"""Create HTTP transports over TCP."""

import functools
import ssl

import httpx

# httpcore walks all idle connections once for each idle one whenever a request
# begins or ends; with 1,024 of them a stalled client spent 7 of 12 s there.
_IDLE_CONNECTIONS = 16


@functools.cache
def share_tls_context() -> ssl.SSLContext:
    """Return the one client context of the process.

    Each context loads all certificate authorities, which blocks the event
    loop for about 40 ms; a gateway makes a new transport whenever connections
    to a target went silent.
    """
    return ssl.create_default_context()


def create_tcp_transport(address: str = '') -> httpx.AsyncBaseTransport:
    """Return a pool of connections; the address is not needed for TCP.

    Connections have no limit: admission bounds them, where a refusal carries a
    verdict and a time to try again; a full pool would only hide the queue.
    """
    return httpx.AsyncHTTPTransport(
        verify=share_tls_context(),
        trust_env=False,
        limits=httpx.Limits(
            max_connections=None,
            max_keepalive_connections=_IDLE_CONNECTIONS,
        ),
    )
