"""Test that deadlines of requests take a planned stop into account."""

import asyncio
import re

import pytest

from cassiarail.edge.requests.caller_listener import DrainRules
from tests.edge.harness import NOT_RUN, make_response
from tests.edge.requests.test_forwarding import STREAM_HEAD, encode_chunk
from tests.edge.stopping import RULES, begin_stream, never_answer, run_stop
from tests.http1.wire import ScriptedServer


def read_deadlines_s(engine):
    found = re.findall(rb'deadline-ms: ([0-9]+)', engine.received.lower())
    return [int(each) / 1000 for each in found]


@pytest.mark.parametrize('route', ['read', 'file', 'stream', 'resume'])
def test_engines_are_given_the_time_that_a_stop_leaves(route):
    # A request waited in an engine's queue until its host ended it.
    async def use(engine, host):
        stopping = asyncio.ensure_future(host.stop_planned())
        await asyncio.sleep(0.1)
        await host.send_request(route)
        (deadline_s,) = read_deadlines_s(engine)
        assert 0 < deadline_s < RULES.limit_s - 0.1
        await stopping

    run_stop(never_answer, use)


def test_a_request_that_its_engine_has_put_off_is_refused_as_not_run():
    async def put_off(server, reader, writer):
        await server.read_request(reader)
        await asyncio.sleep(read_deadlines_s(server)[-1])
        writer.write(NOT_RUN)

    async def use(engine, host):
        stopping = asyncio.ensure_future(host.stop_planned())
        await asyncio.sleep(0.05)
        received = await host.send_request('file')
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 0.00' in received.lower()
        await stopping

    run_stop(put_off, use)


def test_a_retry_in_a_stop_is_given_the_time_that_is_left():
    async def use(engine, host):
        pending = asyncio.ensure_future(host.send_request('read'))
        while not engine.received:
            await asyncio.sleep(0.001)
        stopping = asyncio.ensure_future(host.stop_planned())
        async with ScriptedServer(never_answer) as other:
            host.add(other, 'i-1')
            await pending
            (deadline_s,) = read_deadlines_s(other)
            assert deadline_s < RULES.limit_s
            await stopping

    async def refuse_late(server, reader, writer):
        await server.read_request(reader)
        await asyncio.sleep(0.2)
        writer.write(NOT_RUN)

    run_stop(refuse_late, use)


@pytest.mark.parametrize('early_s', [0, 0.007])
def test_an_engine_that_ends_a_request_with_the_stop_has_no_successor(early_s):
    # Another engine was given a deadline of 1 ms.
    async def end_in_time(server, reader, writer):
        await server.read_request(reader)
        await asyncio.sleep(read_deadlines_s(server)[-1] - early_s)
        writer.write(make_response(status='504 Late'))

    async def use(engine, host):
        async with ScriptedServer(never_answer) as other:
            stopping = asyncio.ensure_future(host.stop_planned())
            await asyncio.sleep(0.05)
            received = await host.send_with_successor('read', engine, other)
            assert received.startswith(b'HTTP/1.1 504')
            assert not other.received
            await stopping

    run_stop(end_in_time, use)


def test_a_model_that_comes_after_the_stop_is_not_waited_for():
    async def use(_engine, host):
        loop = asyncio.get_running_loop()
        host.rules = DrainRules(limit_s=0.9, announce_s=0.8)
        host.expected_s = 1
        pending = asyncio.ensure_future(
            host.send_request('stream', 'X-Cassiarail-Model: n\r\n')
        )
        await asyncio.sleep(0.05)
        began_at = loop.time()
        stopping = asyncio.ensure_future(host.stop_planned())
        received = await pending
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 0.00' in received.lower()
        assert loop.time() - began_at < 0.5
        await stopping

    run_stop(never_answer, use)


@pytest.mark.parametrize(('usual_s', 'is_refused'), [(0.9, True), (0.1, False)])
def test_a_request_that_usually_outlasts_the_stop_goes_to_another_host(
    usual_s, is_refused
):
    async def use(engine, host):
        for _sample in range(20):
            host.forwarder.durations.record('stream', usual_s)
        stopping = asyncio.ensure_future(host.stop_planned())
        await asyncio.sleep(0.05)
        received = await host.send_request('stream')
        assert (b'retry-after: 0.00' in received.lower()) is is_refused
        assert bool(engine.received) is not is_refused
        await stopping

    run_stop(begin_stream, use)


def test_durations_are_learned_from_answers_alone():
    async def answer_in_turn(server, reader, writer):
        await server.read_request(reader)
        await asyncio.sleep(0.1)
        # The second request gets no answer.
        if server.received.count(b'POST') == 1:
            writer.write(make_response())

    async def use(_engine, host):
        samples = []
        host.forwarder.durations.record = lambda *sample: samples.append(sample)
        await host.send_request('file')
        await host.send_request('file')
        ((route, seconds),) = samples
        assert route == 'file'
        assert 0.05 < seconds < 0.3

    run_stop(answer_in_turn, use)


def test_a_stream_that_could_not_go_on_elsewhere_in_time_stays():
    # The host gave it up, and broke it off as the stop ended.
    async def pause(server, reader, writer):
        await server.read_request(reader)
        writer.write(STREAM_HEAD + encode_chunk(b'id: 1\n\n'))
        await asyncio.sleep(0.4)
        writer.write(encode_chunk(b'id: 2\n\n') + b'0\r\n\r\n')

    async def use(engine, host):
        async with ScriptedServer(never_answer) as other:
            stopping = asyncio.ensure_future(host.stop_planned())
            received = await host.send_with_successor('resume', engine, other)
            assert b'id: 2' in received
            assert received.endswith(b'0\r\n\r\n')
            await stopping

    run_stop(pause, use)


def test_a_request_without_time_for_another_engine_stays():
    async def answer_late(server, reader, writer):
        await server.read_request(reader)
        await asyncio.sleep(1.4)
        writer.write(make_response())

    async def use(engine, host):
        host.rules = RULES._replace(limit_s=1.7)
        async with ScriptedServer(never_answer) as other:
            stopping = asyncio.ensure_future(host.stop_planned())
            received = await host.send_with_successor('read', engine, other)
            assert received.startswith(b'HTTP/1.1 200')
            await stopping

    run_stop(answer_late, use)
