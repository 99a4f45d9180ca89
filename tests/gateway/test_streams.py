"""Test streams for gaps, duplicates and premature ends."""

import json

import anyio
import pytest

from cassiarail.gateway.application import GatewayHooks
from cassiarail.gateway.exceptions import ForbiddenError
from cassiarail.gateway.hooks import NoCrashGuard
from tests.gateway.fakes import WORDS, FakeEngine
from tests.gateway.harness import chat, read_tokens, run_harness

COMPLETE_STREAM = (list(range(len(WORDS))), ''.join(WORDS), True)


def test_relays_streamed_and_complete_responses():
    async def scenario(harness, client):
        engine = harness.add(FakeEngine('e1'))
        response = await client.post('/v1/chat/completions', json=chat(True))
        assert read_tokens(response.text) == COMPLETE_STREAM
        assert response.headers['x-verdict'] == 'ran'
        response = await client.post('/v1/chat/completions', json=chat())
        choice = response.json()['choices'][0]
        assert choice['message']['content'] == ''.join(WORDS)
        assert choice['finish_reason'] == 'stop'
        assert response.json()['usage']['completion_tokens'] == len(WORDS)
        # Both used one connection, which was reused after [DONE].
        assert len(engine.requests) == 2
        assert len(harness.transports) == 1

    run_harness(scenario)


@pytest.mark.parametrize(
    'faults',
    [
        [(3, 'break')],
        [(0, 'break'), (2, 'break')],
        [(3, 'silent')],
        [(3, 'repeat')],
        [(3, 'gap')],
        [(2, 'break'), (1, 'silent'), (1, 'gap')],
    ],
)
def test_resumes_on_the_same_target(faults):
    """A broken or silent connection must neither lose nor duplicate a token."""

    async def scenario(harness, client):
        engine = harness.add(FakeEngine('e1', faults))
        response = await client.post('/v1/chat/completions', json=chat(True))
        assert read_tokens(response.text) == COMPLETE_STREAM
        starts = [
            path for method, path, _ in engine.requests if method == 'POST'
        ]
        assert len(starts) == 1

    run_harness(scenario)


@pytest.mark.parametrize('kind', ['break', 'error', 'early', 'silent'])
def test_resumes_on_another_target(kind):
    async def scenario(harness, client):
        harness.add(FakeEngine('e1', [(3, kind)], retains_streams=False))
        second = harness.add(FakeEngine('e2'))
        response = await client.post('/v1/chat/completions', json=chat(True))
        assert read_tokens(response.text) == COMPLETE_STREAM
        body = json.loads(second.requests[0][2])
        assert body['resume_after'] == 3
        assert body['generated'] == ''.join(WORDS[:3])

    run_harness(scenario)


@pytest.mark.parametrize('cancel_s', [1.0, 10_000])
def test_goes_on_elsewhere_only_after_the_engine_has_ended_the_stream(cancel_s):
    """Two engines worked on one request."""

    async def scenario(harness, client):
        first = harness.add(
            FakeEngine(
                'e1', [(3, 'gap')], retains_streams=False, cancel_s=cancel_s
            )
        )
        second = harness.add(FakeEngine('e2'))
        response = await client.post('/v1/chat/completions', json=chat(True))
        if first.cancelled_at is None:
            assert second.started_at is None
            assert 'may still run' in response.text
        else:
            assert second.started_at >= first.cancelled_at
            assert read_tokens(response.text) == COMPLETE_STREAM

    run_harness(scenario)


def test_replaces_the_connections_of_an_unresponsive_target():
    """Its other pooled connections must not be reused."""

    async def scenario(harness, client):
        harness.add(FakeEngine('e1'))
        await client.post('/v1/chat/completions', json=chat())
        harness.network.silence('e1.test:80')
        response = await client.post('/v1/chat/completions', json=chat(True))
        assert read_tokens(response.text) == COMPLETE_STREAM
        assert len(harness.transports) == 2

    run_harness(scenario)


@pytest.mark.parametrize('stream', [True, False])
def test_never_ends_an_incomplete_stream_as_complete(stream):
    """A caller must not mistake a partial response for a complete one."""

    async def scenario(harness, client):
        faults = [(1, 'break'), *[(0, 'break')] * 200]
        harness.add(FakeEngine('e1', faults))
        response = await client.post('/v1/chat/completions', json=chat(stream))
        if stream:
            assert '[DONE]' not in response.text
            assert 'event: error' in response.text
            error = json.loads(response.text.rsplit('data:', 1)[1])['error']
        else:
            assert response.status_code == 502
            error = response.json()['error']
        assert error['verdict'] == 'may-have-run'

    run_harness(scenario)


def test_stream_is_complete_without_the_done_event():
    async def scenario(harness, client):
        harness.add(FakeEngine('e1', [(7, None)]))
        harness.network.listen('e1.test:80', _without_done)
        response = await client.post('/v1/chat/completions', json=chat(True))
        assert read_tokens(response.text) == ([0], 'ja', True)

    run_harness(scenario)


async def _without_done(scope, receive, send):
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    choice = b'{"delta":{"content":"ja"},"finish_reason":"stop"}'
    event = b'id: 0\ndata: {"choices":[%b]}\n\n' % choice
    await send({'type': 'http.response.body', 'body': event})


def test_disconnect_of_the_caller_cancels_the_engine_stream():
    """An abandoned stream must not occupy a batch slot of the engine."""

    async def scenario(harness, client):
        engine = harness.add(FakeEngine('e1'))
        request = client.stream('POST', '/v1/chat/completions', json=chat(True))
        async with request as response:
            request_id = response.headers['x-request-id']
            await anext(response.aiter_raw())
        await anyio.sleep(5)
        assert engine.cancelled == [f'/v1/streams/{request_id}']
        assert harness.gateway.requests.count == 0

    run_harness(scenario)


def test_only_the_same_caller_may_cancel():
    """Another caller's cancellation must look like an unknown request."""

    async def scenario(harness, client):
        engine = harness.add(FakeEngine('e1'))
        request = client.stream('POST', '/v1/chat/completions', json=chat(True))
        async with request as response, harness.client('clerk') as other:
            path = f'/v1/requests/{response.headers["x-request-id"]}'
            assert (await other.delete(path)).status_code == 404
            assert (await client.delete(path)).status_code == 200
            text = ''.join([part async for part in response.aiter_text()])
        assert '[DONE]' not in text
        assert '"code":"cancelled"' in text
        await anyio.sleep(5)
        assert len(engine.cancelled) == 1

    run_harness(scenario)


def test_forwards_the_remaining_time_and_ends_at_the_deadline():
    async def scenario(harness, client):
        engine = harness.add(FakeEngine('e1'))
        headers = {'x-timeout-ms': '2500'}
        response = await client.post(
            '/v1/chat/completions', json=chat(), headers=headers
        )
        assert response.status_code == 504
        assert response.headers['x-verdict'] == 'may-have-run'
        assert int(engine.headers[0][b'x-timeout-ms']) <= 2500

    run_harness(scenario)


def test_no_new_request_is_sent_to_a_target_that_reported_leaving():
    """The snapshot lags behind the response of the target."""

    async def scenario(harness, client):
        leaving = harness.add(FakeEngine('e1', [(0, 'refuse')]), instance='i1')
        harness.add(FakeEngine('e2'))
        for _ in range(3):
            response = await client.post('/v1/chat/completions', json=chat())
            assert response.status_code == 200
        assert len(leaving.requests) == 1

    run_harness(scenario)


def test_closes_the_pools_of_removed_targets():
    async def scenario(harness, client):
        harness.add(FakeEngine('e1'))
        await client.post('/v1/chat/completions', json=chat())
        harness.targets.clear()
        harness.add(FakeEngine('e2'))
        await harness.gateway.pool_cleaner.sweep()
        assert harness.gateway.pools.retired_count == 1

    run_harness(scenario)


def test_crash_is_announced_before_the_retry():
    """A second target must not run the request before it is a suspect."""
    steps = []

    class Guard(NoCrashGuard):
        async def on_start(self, run):
            steps.append(('start', run.target))

        async def on_crash(self, run):
            await anyio.sleep(2)
            steps.append(('crash', run.target))

        async def on_success(self, run):
            steps.append(('success', run.target))

        async def on_end(self, run):
            steps.append(('end', run.target))

    async def scenario(harness, client):
        harness.add(FakeEngine('e1', [(1, 'break')], retains_streams=False))
        harness.add(FakeEngine('e2'))
        response = await client.post('/v1/chat/completions', json=chat(True))
        assert read_tokens(response.text) == COMPLETE_STREAM

    run_harness(
        scenario, hooks=GatewayHooks.permissive()._replace(guard=Guard())
    )
    assert steps == [
        ('start', 'e1'),
        ('crash', 'e1'),
        ('end', 'e1'),
        ('start', 'e2'),
        ('success', 'e2'),
        ('end', 'e2'),
    ]


def test_quarantine_after_an_attempt_does_not_report_not_run():
    """The guard's error doesn't include the verdicts of earlier attempts."""

    class Guard(NoCrashGuard):
        crashes = 0

        async def check(self, fingerprint):
            if self.crashes:
                raise ForbiddenError('quarantined')

        async def on_crash(self, run):
            self.crashes += 1

    async def scenario(harness, client):
        harness.add(FakeEngine('e1', [(0, 'break')], retains_streams=False))
        second = harness.add(FakeEngine('e2'))
        response = await client.post('/v1/chat/completions', json=chat())
        assert response.status_code == 403
        assert response.headers['x-verdict'] == 'may-have-run'
        response = await client.post('/v1/chat/completions', json=chat())
        assert response.headers['x-verdict'] == 'not-run'
        assert not second.requests

    run_harness(
        scenario, hooks=GatewayHooks.permissive()._replace(guard=Guard())
    )
