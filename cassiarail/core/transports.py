"""Create HTTP transports over TCP."""

import functools
import ssl
from collections.abc import Iterable
from typing import Any

import httpcore
import httpx

# Whenever a request starts or ends, httpcore iterates over all connections once
# for each idle one; with 1,024 of them a stalled client spent 7 of 12 s on it.
_IDLE_CONNECTIONS = 16


@functools.cache
def get_tls_context() -> ssl.SSLContext:
    """Return the client TLS context that the whole process shares.

    Creating a context loads all certificate authorities, which blocks the
    event loop for about 40 ms, and a gateway creates a new transport whenever
    connections to a target become unresponsive.
    """
    return ssl.create_default_context()


def create_tcp_transport(address: str = '') -> httpx.AsyncBaseTransport:
    """Return a connection pool; TCP does not need the address.

    The pool sets no connection limit. Admission limits connections instead,
    because its refusals include a verdict and a retry time, while a full pool
    would only hide the queue.
    """
    return _TcpTransport()


class _TcpTransport(httpx.AsyncHTTPTransport):
    """Pool connections that a server may close at any moment."""

    def __init__(self) -> None:
        super().__init__(verify=get_tls_context(), trust_env=False)
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=get_tls_context(),
            max_connections=None,
            max_keepalive_connections=_IDLE_CONNECTIONS,
            network_backend=_Backend(),
        )


class _Backend(httpcore.AsyncNetworkBackend):
    """Open connections whose state can be read after they were closed."""

    def __init__(self) -> None:
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        return _Stream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        await self._backend.sleep(seconds)


class _Stream(httpcore.AsyncNetworkStream):
    """Read and write one connection.

    A connection that was closed before its first use has no socket any more,
    for which anyio raises ``AttributeError`` when its state is read. Reading
    and writing such a connection then fails as for any closed one.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream

    async def read(
        self,
        max_bytes: int,
        timeout: float | None = None,
    ) -> bytes:
        """Read some bytes."""
        return await self._stream.read(max_bytes, timeout)

    async def write(
        self,
        buffer: bytes,
        timeout: float | None = None,
    ) -> None:
        """Write all bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Continue with TLS."""
        return _Stream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> Any:  # noqa: WPS110 - as in httpcore
        """Return a part of the connection's state."""
        try:
            return self._stream.get_extra_info(info)
        except AttributeError:
            # The end of a closed connection can be read.
            return True if info == 'is_readable' else None
