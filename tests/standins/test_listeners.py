"""Test the application wrapper of the TCP listener."""

import anyio
import pytest

from cassiarail.core.loops import run_virtual
from cassiarail.standins.listeners import SilenceableApplication
from cassiarail.standins.responses import BrokenConnectionError


async def _never_receive():
    await anyio.sleep_forever()


def test_silence_blocks_requests_in_progress_but_not_the_lifespan():
    """A silent lifespan prevented the program from exiting on SIGTERM."""
    sent = []

    async def application(scope, receive, send):
        await anyio.sleep(1)
        await send({'type': scope['type']})

    async def send(message):
        sent.append(message['type'])

    async def main():
        silenceable = SilenceableApplication(application)
        first = {'type': 'http', 'client': ('127.0.0.1', 1)}
        second = {'type': 'http', 'client': ('127.0.0.1', 2)}
        async with anyio.create_task_group() as group:
            for scope in (first, {'type': 'lifespan'}):
                group.start_soon(silenceable, scope, _never_receive, send)
            await anyio.sleep(0.5)
            assert silenceable.silence() == 1
            await silenceable(second, _never_receive, send)
            assert sent == ['lifespan', 'http']
            with anyio.move_on_after(60) as timeout_scope:
                await silenceable(first, _never_receive, send)
            assert timeout_scope.cancelled_caught
            group.cancel_scope.cancel()

    run_virtual(main)


def test_broken_connection_sends_no_complete_error_response():
    sent = []

    async def application(scope, receive, send):
        raise BrokenConnectionError('response lost')

    async def send(message):
        sent.append(message)

    async def main():
        with pytest.raises(BrokenConnectionError):
            await SilenceableApplication(application)(
                {'type': 'http', 'client': ('127.0.0.1', 1)},
                _never_receive,
                send,
            )

    run_virtual(main)
    assert [message['type'] for message in sent] == ['http.response.start']
    assert (b'content-length', b'1') in sent[0]['headers']
