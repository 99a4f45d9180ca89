"""Guard what a client believes of a server's bytes."""

import asyncio

import pytest

from cassiarail.core.exceptions import (
    ConnectFailedError,
    ConnectionLostError,
)
from cassiarail.http1.messages import RequestHead, find_header
from cassiarail.http1.pool import Address, ConnectionPool, PoolRules
from tests.http1.wire import ScriptedServer, reset, run_with_timeout

GET = RequestHead(b'GET', b'/x', [(b'host', b'h'), (b'id', b'1')])
POST = RequestHead(b'POST', b'/x', [(b'host', b'h'), (b'id', b'2')])
RULES = PoolRules(connect_timeout_s=5)


def accept_any(_head):
    return True


async def exchange(pool, address, head=GET, body=b'', accept=accept_any):
    connection = await pool.acquire(address)
    try:
        connection.send(head, body)
        answer = await connection.read_head(accept)
        content = await connection.read_body(1_000_000)
    except ConnectionLostError:
        pool.discard(connection, 'test')
        raise
    pool.release(connection)
    return answer, content


def answer_with(*answers):
    """Return a script that gives these answers to requests in order."""

    async def script(server, reader, writer):
        for each in answers:
            await server.read_request(reader)
            writer.write(each)
            await writer.drain()

    return script


WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
ENDLESS = b'HTTP/1.1 200 OK\r\n\r\nok'


def test_a_connection_is_used_again_after_a_whole_answer():
    async def main():
        async with ScriptedServer(answer_with(WHOLE, WHOLE)) as server:
            pool = ConnectionPool(RULES)
            await exchange(pool, server.address)
            _head, body = await exchange(pool, server.address)
            assert (body, server.connections) == (b'ok', 1)

    run_with_timeout(main)


def test_an_answer_without_length_is_whole_at_a_clean_end():
    async def main():
        async with ScriptedServer(answer_with(ENDLESS)) as server:
            _head, body = await exchange(ConnectionPool(RULES), server.address)
            assert body == b'ok'

    run_with_timeout(main)


def test_an_answer_without_length_that_is_reset_is_lost():
    # A reset answer shown as whole would be a partial answer (MIXED).
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(ENDLESS)
        await writer.drain()
        await server.gate.wait()
        reset(writer)

    async def main():
        async with ScriptedServer(script) as server:
            server.gate = asyncio.Event()
            connection = await ConnectionPool(RULES).acquire(server.address)
            connection.send(GET, b'')
            await connection.read_head(accept_any)
            assert await connection.read_chunk() == b'ok'
            server.gate.set()
            with pytest.raises(ConnectionLostError):
                await connection.read_chunk()

    run_with_timeout(main)


@pytest.mark.parametrize(
    'spoiled',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok',
        b'\x00\x01\x02 this is no answer\r\n\r\n',
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Le',
    ],
)
def test_a_spoiled_answer_is_lost(spoiled):
    async def main():
        async with ScriptedServer(answer_with(spoiled)) as server:
            with pytest.raises(ConnectionLostError):
                await exchange(ConnectionPool(RULES), server.address)

    run_with_timeout(main)


def test_an_answer_to_an_earlier_request_is_skipped():
    # A late second answer would be taken for the next request's (MIXED).
    late = b'HTTP/1.1 200 OK\r\nid: 1\r\nContent-Length: 4\r\n\r\nlate'
    own = b'HTTP/1.1 200 OK\r\nid: 2\r\nContent-Length: 3\r\n\r\nown'

    async def main():
        async with ScriptedServer(answer_with(late + own)) as server:
            _head, body = await exchange(
                ConnectionPool(RULES),
                server.address,
                POST,
                b'body',
                lambda head: find_header(head.headers, b'id') == '2',
            )
            assert body == b'own'

    run_with_timeout(main)


def test_bytes_after_a_whole_answer_end_the_connection():
    async def main():
        script = answer_with(WHOLE + b'HTTP/1.1 200 OK\r\n', WHOLE)
        async with ScriptedServer(script) as server:
            pool = ConnectionPool(RULES)
            await exchange(pool, server.address)
            await exchange(pool, server.address)
            assert server.connections == 2

    run_with_timeout(main)


def test_bytes_on_an_idle_connection_end_it():
    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(WHOLE)
        await writer.drain()
        await server.gate.wait()
        writer.write(WHOLE)
        await reader.read()
        server.ended.set()

    async def main():
        async with ScriptedServer(script) as server:
            server.gate = asyncio.Event()
            server.ended = asyncio.Event()
            pool = ConnectionPool(RULES)
            await exchange(pool, server.address)
            server.gate.set()
            await server.ended.wait()
            connection = await pool.acquire(server.address)
            assert server.connections == 2
            connection.abort('done')

    run_with_timeout(main)


def test_a_closing_server_is_not_asked_again():
    closing = (
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n'
    )

    async def main():
        async with ScriptedServer(answer_with(closing)) as server:
            pool = ConnectionPool(RULES)
            await exchange(pool, server.address)
            await exchange(pool, server.address)
            assert server.connections == 2

    run_with_timeout(main)


def test_the_rest_of_a_long_body_follows_an_early_answer():
    # Other bytes in its place would be read as a request (UNASKED).
    body = b'x' * 20_000_000  # more than the kernel buffers

    async def script(server, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(WHOLE)
        await writer.drain()
        await server.gate.wait()
        server.rest = await reader.read(-1)

    async def main():
        async with ScriptedServer(script) as server:
            server.gate = asyncio.Event()
            pool = ConnectionPool(RULES)
            connection = await pool.acquire(server.address)
            connection.send(POST, body)
            await connection.read_head(accept_any)
            await connection.read_body(10)
            pool.release(connection)
            server.gate.set()
            other = await pool.acquire(server.address)
            assert other is not connection
            other.abort('done')

    run_with_timeout(main)


def test_a_refused_connection_says_that_no_byte_left():
    async def main():
        async with ScriptedServer(answer_with()) as server:
            address = server.address
        with pytest.raises(ConnectFailedError):
            await ConnectionPool(RULES).acquire(address)

    run_with_timeout(main)


def test_an_announced_idle_time_bounds_reuse():
    soon = (
        b'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n'
    )

    async def main():
        async with ScriptedServer(answer_with(soon, soon)) as server:
            pool = ConnectionPool(RULES)
            connection = await pool.acquire(server.address)
            connection.send(GET, b'')
            await connection.read_head(accept_any)
            await connection.discard_body()
            connection.keep_alive_s = 1
            pool.release(connection)
            # The margin of one second leaves nothing of the announced time.
            other = await pool.acquire(server.address)
            assert other is not connection
            other.abort('done')

    run_with_timeout(main)


@pytest.mark.parametrize('text', ['', '1.2.3.4', ':80', '1.2.3.4:x', 'a:1:'])
def test_a_broken_address_is_rejected(text):
    with pytest.raises(ValueError, match='not an address'):
        Address.parse(text)
