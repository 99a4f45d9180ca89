"""Guard the verdicts of failed exchanges with targets."""

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

NOT_RUN, MAY = Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN
URL = 'http://10.0.0.1/'


@pytest.mark.parametrize(
    ('raised', 'expected', 'verdict'),
    [
        (httpx.ConnectError, ConnectFailedError, NOT_RUN),
        (httpx.ConnectTimeout, ConnectFailedError, NOT_RUN),
        (httpx.PoolTimeout, ConnectFailedError, NOT_RUN),
        (httpx.ReadTimeout, IdleTimeoutError, MAY),
        (httpx.WriteTimeout, IdleTimeoutError, MAY),
        (httpx.ReadError, ConnectionLostError, MAY),
        (httpx.WriteError, ConnectionLostError, MAY),
        (httpx.CloseError, ConnectionLostError, MAY),
        (httpx.RemoteProtocolError, ConnectionLostError, MAY),
        (httpx.LocalProtocolError, ConnectionLostError, MAY),
        (httpx.DecodingError, ConnectionLostError, MAY),
    ],
)
def test_only_failures_before_the_first_byte_say_not_run(
    raised, expected, verdict
):
    """A write that failed may have delivered all of the request."""
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


def test_a_retired_pool_is_closed_by_its_last_user():
    """Closing it at once would cut the streams that still run on it."""
    made = []

    def make(_address):
        made.append(_Transport())
        return made[-1]

    async def main():
        pools = ConnectionPools(make)
        request = httpx.Request('GET', URL)
        async with pools.exchange('a', request):
            made[0].error = httpx.ReadTimeout('silent')
            with pytest.raises(IdleTimeoutError):
                async with pools.exchange('a', request):
                    pass
            assert not made[0].is_closed
            async with pools.exchange('a', request) as answer:
                assert await answer.read_body(10) == b'ok'
        assert made[0].is_closed
        assert not made[1].is_closed
        async with pools.exchange('a', request, fresh=True):
            pass
        assert made[2].is_closed
        await pools.close_idle({'b'})
        assert made[1].is_closed

    run_virtual(main)
