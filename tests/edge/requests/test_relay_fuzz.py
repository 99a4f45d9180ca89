"""Test that arbitrary bytes of an engine never mislead callers."""

import asyncio

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.edge.harness import Fleet, make_response
from tests.http1.wire import ScriptedServer, run_with_timeout

VALID = make_response(b'0123456789', headers='Keep-Alive: timeout=5\r\n')
STREAM = (
    b'HTTP/1.1 200 OK\r\nX-Cassiarail-Request-Id: r1\r\n'
    b'X-Cassiarail-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'a\r\n0123456789\r\n0\r\n\r\n'
)

mutations = st.lists(
    st.tuples(
        st.floats(0, 1, exclude_max=True),
        st.sampled_from(['cut', 'drop', 'insert', 'change']),
        st.binary(min_size=1, max_size=6),
    ),
    min_size=1,
    max_size=4,
)


def corrupt(valid, changes):
    """Return a response with parts cut, dropped, inserted or changed."""
    corrupted = valid
    for share, kind, text in changes:
        at = int(share * len(corrupted))
        if kind == 'cut':
            corrupted = corrupted[:at]
        elif kind == 'drop':
            corrupted = corrupted[:at] + corrupted[at + len(text) :]
        elif kind == 'insert':
            corrupted = corrupted[:at] + text + corrupted[at:]
        else:
            corrupted = corrupted[:at] + text + corrupted[at + len(text) :]
    return corrupted


def parse_response(received, method):
    """Parse a response; return status, body and whether it is complete."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(
        h11.Request(method=method, target='/', headers=[('host', 'h')]),
    )
    parser.send(h11.EndOfMessage())
    parser.receive_data(received)
    parser.receive_data(b'')
    status, body = None, b''
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return status, body, False
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body, True
        else:
            return status, body, False


def send_request(route, corrupted):
    received = []

    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(corrupted)
        await writer.drain()

    async def main():
        async with ScriptedServer(script) as server, Fleet() as host:
            host.add(server, 'i-0')
            received.append(await host.send_request(route))
            await asyncio.sleep(0)

    run_with_timeout(main)
    return received[0]


@settings(max_examples=150)
@given(mutations)
def test_a_corrupted_response_arrives_signed_or_as_an_error(changes):
    # A success without the signature or the complete body breaks MIXED.
    corrupted = corrupt(VALID, changes)
    received = send_request('file', corrupted)
    status, body, is_complete = parse_response(received, 'POST')
    assert status is not None
    assert is_complete
    if 200 <= status < 300:
        assert b'x-cassiarail-server-stamp' in received.lower()
        assert body in corrupted


@settings(max_examples=60)
@given(st.integers(0, len(STREAM) - 1))
def test_a_truncated_stream_never_looks_complete(length):
    # Only the last chunk separates an end from an interruption (ORDER).
    received = send_request('stream', STREAM[:length])
    status, _body, is_complete = parse_response(received, 'POST')
    assert status is not None
    assert not (200 <= status < 300 and is_complete)
