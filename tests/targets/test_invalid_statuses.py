"""Test that a status that is none is never taken for a target's answer.

A target in trouble sent an answer with status 000, and the caller got it.
"""

import httpx
import pytest

from cassiarail.core.exceptions import ConnectionLostError
from cassiarail.core.verdict import Verdict
from cassiarail.targets.connections import ConnectionPools
from tests.http1.wire import ScriptedServer, run_with_timeout

STATUS_LINES = [
    b'000 Trouble',
    b'099 Trouble',
    b'600 Trouble',
    b'999 Trouble',
    b'0200 OK',
    b'20 OK',
    b'101 Switching Protocols',
    b'200 O\x00K',
    b'200 O\x0bK',
]


def serve_line(line):
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(b'HTTP/1.1 %s\r\nContent-Length: 6\r\n\r\nbroken' % line)
        await writer.drain()

    return script


@pytest.mark.parametrize('line', STATUS_LINES)
def test_such_an_exchange_may_have_run(line):
    async def main():
        async with ScriptedServer(serve_line(line)) as server:
            pools = ConnectionPools(lambda _address: httpx.AsyncHTTPTransport())
            request = httpx.Request(
                'POST', f'http://{server.address}/x', content=b'{}'
            )
            with pytest.raises(ConnectionLostError) as caught:
                async with pools.exchange('a', request):
                    pass
            assert caught.value.verdict is Verdict.MAY_HAVE_RUN
            await pools.aclose()

    run_with_timeout(main)
