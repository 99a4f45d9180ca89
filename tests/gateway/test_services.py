"""Test calls of plain services for duplicate runs and wrong verdicts."""

import anyio
import pytest

from cassiarail.routing.snapshot import TargetKind
from tests.gateway.fakes import FakeRegister, FakeStore
from tests.gateway.harness import run_harness
from tests.gateway.test_refusals import FILINGS, make_key


def _file(client, key, body=b'{"id":"1"}', **headers):
    all_headers = {'idempotency-key': key, **headers}
    return client.post(FILINGS, content=body, headers=all_headers)


def _add(harness, name, *faults):
    return harness.add(FakeRegister(name, faults), TargetKind.PLAIN)


def test_resend_receives_the_recorded_response():
    """A filing whose response was lost must not run again."""

    async def scenario(harness, client):
        register = _add(harness, 'r1')
        first = await _file(client, make_key())
        await anyio.sleep(1)
        second = await _file(client, make_key())
        assert first.status_code == second.status_code == 201
        assert first.content == second.content == b'{"filed":true}'
        assert second.headers['x-verdict'] == 'ran'
        assert len(register.ran) == 1
        other = await _file(client, make_key(), b'{"id":"2"}')
        assert other.status_code == 422
        assert other.headers['x-verdict'] == 'not-run'

    run_harness(scenario)


@pytest.mark.parametrize('fault', ['break-after', 'break-before', 'hang'])
def test_unknown_outcome_is_never_retried(fault):
    """Neither the gateway nor a resend may repeat a call that may have run."""

    async def scenario(harness, client):
        first = _add(harness, 'r1', fault)
        second = _add(harness, 'r2')
        response = await _file(client, make_key(), **{'x-timeout-ms': '5000'})
        assert response.status_code in {502, 504}
        assert response.headers['x-verdict'] == 'may-have-run'
        await anyio.sleep(1)
        resent = await _file(client, make_key())
        assert resent.status_code == 409
        assert resent.headers['x-verdict'] == 'may-have-run'
        assert len(first.headers) == 1
        assert not second.headers

    run_harness(scenario)


def test_call_that_did_not_run_is_sent_to_another_target():
    async def scenario(harness, client):
        first = _add(harness, 'r1', 'refuse')
        _add(harness, 'r2')
        harness.network.kill('r2.test:80')
        second = _add(harness, 'r3')
        response = await _file(client, make_key())
        assert response.status_code == 201
        assert len(first.ran) + len(second.ran) == 1

    run_harness(scenario)


def test_call_that_no_target_ran_releases_its_key():
    async def scenario(harness, client):
        register = _add(harness, 'r1', *['refuse'] * 6)
        response = await _file(client, make_key())
        assert response.headers['x-verdict'] == 'not-run'
        response = await _file(client, make_key())
        assert response.status_code == 201
        assert len(register.ran) == 1

    run_harness(scenario)


def test_non_idempotent_calls_use_new_connections():
    """A stale pooled connection would make the outcome unknown."""

    async def scenario(harness, client):
        _add(harness, 'r1')
        await client.get('/services/register/records/1')
        await _file(client, make_key())
        await _file(client, make_key(1))
        assert len(harness.transports) == 3

    run_harness(scenario)


def test_no_call_is_sent_while_the_store_is_unavailable():
    async def scenario(harness, client):
        register = _add(harness, 'r1')
        harness.store.is_unavailable = True
        response = await _file(client, make_key())
        assert response.status_code == 503
        assert response.headers['x-verdict'] == 'not-run'
        assert 'retry-after' in response.headers
        assert not register.headers
        assert (await client.get('/services/register/x')).status_code == 201
        harness.store.is_unavailable = False
        assert (await _file(client, make_key())).status_code == 201

    run_harness(scenario)


@pytest.mark.parametrize(
    'faults',
    [
        ['lost'],
        ['lost-before'],
        ['late'],
        ['lost', 'out'],
        ['lost-before', 'out'],
        ['late', 'out'],
        ['late', 'out', '', 'late'],
    ],
)
def test_lost_store_responses_are_resolved(faults):
    """A lost response must neither run a call twice nor block its key."""

    async def scenario(harness, client):
        register = _add(harness, 'r1')
        response = await _file(client, make_key())
        verdict = response.headers['x-verdict']
        assert (verdict == 'not-run') == (not register.ran)
        await anyio.sleep(30)
        harness.store.apply_delayed_writes()
        response = await _file(client, make_key())
        assert response.status_code == 201
        assert len(register.ran) == 1

    run_harness(scenario, store=FakeStore(faults))


def test_idempotent_calls_are_retried():
    async def scenario(harness, client):
        _add(harness, 'r1', 'break-after', 'fail', 'refuse')
        response = await client.put('/services/register/records/1?a=b')
        assert response.status_code == 201
        response = await client.post('/services/register/search', content=b'x')
        assert response.status_code == 201
        assert 'x-verdict' in response.headers

    run_harness(scenario)


def test_retries_stop_when_the_budget_is_exhausted():
    """Retries during an outage must not multiply the load on targets."""

    async def scenario(harness, client):
        register = _add(harness, 'r1', *['break-after'] * 500)
        for _ in range(50):
            response = await client.get('/services/register/records/1')
            assert response.status_code == 502
        # 50 first attempts and 20 retries from the reserve.
        assert len(register.headers) == 70

    run_harness(scenario)
