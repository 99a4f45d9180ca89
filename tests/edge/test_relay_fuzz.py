"""Guard callers against whatever bytes an engine sends."""

import asyncio

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.edge.fleet import Fleet, make_response
from tests.http1.wire import ScriptedServer, play

VALID = make_response(b'0123456789', headers='Keep-Alive: timeout=5\r\n')
STREAM = (
    b'HTTP/1.1 200 OK\r\nX-Cassiarail-Request-Id: r1\r\n'
    b'X-Cassiarail-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'a\r\n0123456789\r\n0\r\n\r\n'
)

edits = st.lists(
    st.tuples(
        st.floats(0, 1, exclude_max=True),
        st.sampled_from(['cut', 'drop', 'insert', 'change']),
        st.binary(min_size=1, max_size=6),
    ),
    min_size=1,
    max_size=4,
)


def spoil(valid, changes):
    """Return an answer with parts cut, dropped, inserted or changed."""
    spoiled = valid
    for share, kind, text in changes:
        at = int(share * len(spoiled))
        if kind == 'cut':
            spoiled = spoiled[:at]
        elif kind == 'drop':
            spoiled = spoiled[:at] + spoiled[at + len(text) :]
        elif kind == 'insert':
            spoiled = spoiled[:at] + text + spoiled[at:]
        else:
            spoiled = spoiled[:at] + text + spoiled[at + len(text) :]
    return spoiled


def read_answer(received, method):
    """Parse what a caller received; return status, body and wholeness."""
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


def ask(route, spoiled):
    received = []

    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(spoiled)
        await writer.drain()

    async def main():
        async with ScriptedServer(script) as server, Fleet() as host:
            host.add(server, 'i-0')
            received.append(await host.send_request(route))
            await asyncio.sleep(0)

    play(main)
    return received[0]


@settings(max_examples=150)
@given(edits)
def test_a_whole_answer_is_the_engine_s_or_a_failure(changes):
    # A success without the signature or the whole body breaks MIXED.
    spoiled = spoil(VALID, changes)
    received = ask('file', spoiled)
    status, body, is_whole = read_answer(received, 'POST')
    assert status is not None
    assert is_whole
    if 200 <= status < 300:
        assert b'x-cassiarail-server-stamp' in received.lower()
        assert body in spoiled


@settings(max_examples=60)
@given(st.integers(0, len(STREAM) - 1))
def test_a_stream_that_is_cut_never_looks_whole(length):
    # The engine's last chunk is all that tells an end from a loss (ORDER).
    received = ask('stream', STREAM[:length])
    status, _body, is_whole = read_answer(received, 'POST')
    assert status is not None
    assert not (200 <= status < 300 and is_whole)
