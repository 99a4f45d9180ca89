"""Test the verdicts and transports of failed exchanges with targets."""

import httpx
import pytest

from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
    IdleTimeoutError,
)
from cassiarail.core.loops import run_virtual
from cassiarail.core.verdict import Verdict
from cassiarail.targets.connections import (
    ConnectionPools,
    map_transport_error,
)

NOT_RUN, UNCERTAIN = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
URL = 'http://10.0.0.1/'


@pytest.mark.parametrize(
    ('raised', 'expected', 'verdict'),
    [
        (httpx.ConnectError, ConnectFailedError, NOT_RUN),
        (httpx.ConnectTimeout, ConnectFailedError, NOT_RUN),
        (httpx.PoolTimeout, ConnectFailedError, NOT_RUN),
        (httpx.ReadTimeout, IdleTimeoutError, UNCERTAIN),
        (httpx.WriteTimeout, IdleTimeoutError, UNCERTAIN),
        (httpx.ReadError, ConnectionLostError, UNCERTAIN),
        (httpx.WriteError, ConnectionLostError, UNCERTAIN),
        (httpx.CloseError, ConnectionLostError, UNCERTAIN),
        (httpx.RemoteProtocolError, ConnectionLostError, UNCERTAIN),
        (httpx.LocalProtocolError, ConnectionLostError, UNCERTAIN),
        (httpx.DecodingError, ConnectionLostError, UNCERTAIN),
    ],
)
def test_only_failures_before_first_byte_are_not_run(raised, expected, verdict):
    """Guard against a failed write that delivered the request as not run."""
    error = map_transport_error(raised('x'))
    assert type(error) is expected
    assert error.verdict is verdict


class _Transport(httpx.AsyncBaseTransport):
    def __init__(self):
        self.error = None
        self.is_closed = False

    async def handle_async_request(self, request):
        if self.error is not None:
            raise self.error
        return httpx.Response(200, stream=httpx.ByteStream(b'ok'))

    async def aclose(self):
        self.is_closed = True


def test_retired_transport_is_closed_by_its_last_user():
    """Guard against closing a transport that still has open streams."""
    transports = []

    def create_transport(_address):
        transports.append(_Transport())
        return transports[-1]

    async def main():
        pools = ConnectionPools(create_transport)
        request = httpx.Request('GET', URL)
        async with pools.exchange('a', request):
            transports[0].error = httpx.ReadTimeout('silent')
            with pytest.raises(IdleTimeoutError):
                async with pools.exchange('a', request):
                    pass
            assert not transports[0].is_closed
            async with pools.exchange('a', request) as response:
                assert await response.read_body(10) == b'ok'
        assert transports[0].is_closed
        assert not transports[1].is_closed
        async with pools.exchange('a', request, fresh=True):
            pass
        assert transports[2].is_closed
        await pools.close_idle({'b'})
        assert transports[1].is_closed

    run_virtual(main)
