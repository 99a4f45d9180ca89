"""Test connections that a server closes before they are used.

anyio raised AttributeError for them, which no caller expects: a load run ended
with it, and so would requests of the gateway.
"""

import anyio
import httpcore
import httpx
import pytest

from cassiarail.core.transports import create_tcp_transport


class ClosedStream(httpcore.AsyncNetworkStream):
    """Act like a stream of anyio whose socket is gone."""

    async def read(self, max_bytes, timeout=None):
        raise httpcore.ReadError

    async def write(self, buffer, timeout=None):
        raise httpcore.WriteError

    async def aclose(self):
        """Do nothing."""

    def get_extra_info(self, info):
        return None.getpeername()


class ClosingBackend(httpcore.AsyncNetworkBackend):
    """Open connections that are closed at once."""

    async def connect_tcp(self, host, port, *_options):
        return ClosedStream()


def test_a_connection_that_is_closed_before_its_first_use_fails_as_others():
    async def main():
        transport = create_tcp_transport()
        transport._pool._network_backend._backend = ClosingBackend()
        async with transport:
            request = httpx.Request('GET', 'http://127.0.0.1:1/')
            with pytest.raises(httpx.NetworkError):
                await transport.handle_async_request(request)

    anyio.run(main)


def test_a_sound_connection_is_used_as_before():
    async def serve(stream):
        async with stream:
            await stream.receive()
            await stream.send(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
            await stream.receive()

    async def main():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            async with httpx.AsyncClient(
                transport=create_tcp_transport()
            ) as client:
                response = await client.get(f'http://127.0.0.1:{port}/')
                assert response.text == 'ok'
            group.cancel_scope.cancel()

    anyio.run(main)
