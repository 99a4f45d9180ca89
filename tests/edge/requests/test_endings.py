"""Test that each request ends, with what is true of what it has had.

A stream that broke off was refused afterwards, and its caller heard nothing
more; requests that may have run were refused as not run.
"""

import asyncio

import pytest

from cassiarail.edge.requests.forwarding import Forwarder
from tests.edge.harness import (
    NOT_RUN,
    Fleet,
    make_response,
    serve,
)
from tests.edge.requests.test_forwarding import STREAM_HEAD, encode_chunk
from tests.http1.wire import ScriptedServer, run_with_timeout

END_S = 2.0


def crash_with(response, host):
    """Return a script that sends a part of a response and then crashes.

    Peers report meanwhile that the request has crashed other targets.
    """

    async def script(server, reader, writer):
        await server.read_request(reader)
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(0.05)
        host.suspects.is_quarantined = lambda _fingerprint: True
        writer.transport.abort()

    return script


async def send_to_crashing_engine(route, response, host):
    async with (
        ScriptedServer(crash_with(response, host)) as crashing,
        ScriptedServer(serve(make_response(b'ran'))) as other,
    ):
        host.add(crashing, 'i-0')
        pending = asyncio.ensure_future(host.send_request(route))
        while not crashing.received:
            await asyncio.sleep(0.001)
        host.add(other, 'i-1')
        received = await asyncio.wait_for(pending, END_S)
        assert not other.received
        return received


def test_a_stream_that_broke_and_is_refused_ends_at_once():
    # Its caller heard nothing more until it left by itself (CONFIG).
    async def main():
        async with Fleet() as host:
            received = await send_to_crashing_engine(
                'resume',
                STREAM_HEAD + encode_chunk(b'id: 1\ndata: a\n\n'),
                host,
            )
        assert received.count(b'HTTP/1.1') == 1
        assert b'id: 1' in received
        assert not received.endswith(b'0\r\n\r\n')

    run_with_timeout(main)


def test_a_request_that_may_have_run_is_not_refused_as_not_run():
    # 503 promises that the request has not run and never will.
    async def main():
        async with Fleet() as host:
            received = await send_to_crashing_engine('read', b'', host)
        assert received.startswith(b'HTTP/1.1 502')
        assert b'retry-after' not in received.lower()

    run_with_timeout(main)


def test_the_failure_of_a_target_is_delivered_if_no_other_may_be_tried():
    async def main():
        async with Fleet() as host:

            async def fail(server, reader, writer):
                await server.read_request(reader)
                host.suspects.is_quarantined = lambda _fingerprint: True
                writer.write(make_response(b'broken', '500 No'))
                await writer.drain()

            async with (
                ScriptedServer(fail) as failing,
                ScriptedServer(fail) as other,
            ):
                host.add(failing, 'i-0')
                host.add(other, 'i-1')
                received = await host.send_request('read')
        assert received.startswith(b'HTTP/1.1 500')
        assert received.endswith(b'broken')

    run_with_timeout(main)


def test_a_request_refused_by_all_targets_is_refused_with_a_time_to_return():
    async def main():
        async with Fleet() as host, ScriptedServer(serve(NOT_RUN)) as engine:
            host.add(engine, 'i-0')
            received = await host.send_request('read')
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after' in received.lower()

    run_with_timeout(main)


@pytest.mark.parametrize('stage', ['_admit', '_serve', '_record_end'])
def test_an_internal_error_ends_the_request_of_its_caller(stage, monkeypatch):
    # An exception left the connection open, without a line in the log.
    def fail(*_arguments):
        raise RuntimeError('defect')

    async def main():
        async with (
            Fleet() as host,
            ScriptedServer(serve(make_response())) as engine,
        ):
            host.add(engine, 'i-0')
            monkeypatch.setattr(Forwarder, stage, fail)
            received = await asyncio.wait_for(host.send_request('read'), END_S)
        assert received.count(b'HTTP/1.1') <= 1

    run_with_timeout(main)
