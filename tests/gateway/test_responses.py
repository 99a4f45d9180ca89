"""Test that a response is ended once."""

import anyio

from cassiarail.core.exceptions import CassiarailError
from cassiarail.core.verdict import Verdict
from cassiarail.gateway.responses import ResponseWriter


def send_with_error(respond):
    """Return the messages of a response whose request fails afterwards."""
    messages = []

    async def send(message):
        messages.append(message)

    async def main():
        writer = ResponseWriter(send, [])
        await respond(writer)
        await writer.send_error(CassiarailError('late'))

    anyio.run(main)
    return messages


def test_an_error_after_a_complete_response_sends_nothing():
    # The error was appended to a body whose length was announced.
    messages = send_with_error(
        lambda writer: writer.send_complete(200, b'ok', Verdict.RAN, [])
    )
    assert [each.get('body') for each in messages] == [None, b'ok']


def test_an_error_after_the_end_of_a_stream_sends_nothing():
    messages = send_with_error(lambda writer: writer.end_stream(b'last'))
    assert [each.get('body') for each in messages] == [None, b'last', b'']


def test_an_error_within_a_stream_is_sent_as_its_last_event():
    messages = send_with_error(lambda writer: writer.send_block(b'first'))
    assert messages[2]['body'].startswith(b'event: error')
    assert messages[3]['body'] == b''
