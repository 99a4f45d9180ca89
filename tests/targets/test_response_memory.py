"""Test that responses of the gateway's targets share one bound."""

import anyio
import httpx
import pytest

from cassiarail.limits.byte_budget import FREE_BYTES, ByteBudget
from cassiarail.targets.connections import ConnectionPools
from cassiarail.targets.exceptions import ResponseTooLargeError


class Endless(httpx.AsyncBaseTransport):
    """Respond with a body without end."""

    async def handle_async_request(self, request):
        return httpx.Response(500, stream=_EndlessStream())


class _EndlessStream(httpx.AsyncByteStream):
    async def __aiter__(self):
        while True:
            yield b'x' * FREE_BYTES


def test_an_endless_response_of_a_gateways_target_ends_at_the_budget():
    async def main():
        memory = ByteBudget(3 * FREE_BYTES)
        pools = ConnectionPools(lambda _address: Endless(), memory)
        request = httpx.Request('GET', 'http://target/')
        async with pools.exchange('target', request) as response:
            with pytest.raises(ResponseTooLargeError):
                await response.read_body(1_000 * FREE_BYTES)
        assert not memory.used_bytes

    anyio.run(main)
