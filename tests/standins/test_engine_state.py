"""Test caches, priorities, versions and fences of the engine stand-in."""

import random

import anyio
import httpx
import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.standins.batch import (
    Batch,
    CompletionRequest,
    EngineSpeed,
    Generation,
)
from cassiarail.standins.engine import Engine
from cassiarail.standins.faults import Fault, FaultName
from cassiarail.standins.prefix_cache import CacheReporting, PrefixCache
from cassiarail.standins.tokens import hash_prefix
from tests.standins.support import ENGINE, GB, run_scenario
from tests.standins.test_engine import make_body, read_stream, send_order

COMPLETIONS = f'{ENGINE}/v1/chat/completions'


async def read_state(client):
    return (await client.get(f'{ENGINE}/admin/state')).json()


def test_unload_waits_for_streams_of_its_own_version_only():
    """An interrupted stream or an endless unload would break a rollout."""

    async def scenario(standins, client):
        started = anyio.Event()
        body = make_body(stream=True, max_tokens=200)

        async def hold_stream():
            started.set()
            assert (await read_stream(client, COMPLETIONS, json=body))[1]

        async with anyio.create_task_group() as group:
            group.start_soon(hold_stream)
            await started.wait()
            await anyio.sleep(0.1)
            new = {'model': 'm', 'version': '2', 'bytes': 100 * GB}
            await send_order(client, 'o1', 'load_model', **new)
            await anyio.sleep(1.7)
            old = {'model': 'm', 'version': '1'}
            await send_order(client, 'o2', 'unload_model', **old)
            states = {
                entry['version']: entry['state']
                for entry in (await read_state(client))['held']
            }
            assert states == {'1': 'unloading', '2': 'ready'}
        await anyio.sleep(0.5)
        held = (await read_state(client))['held']
        assert [entry['version'] for entry in held] == ['2']
        assert (await client.post(COMPLETIONS, json=make_body())).is_success

    run_scenario(scenario)


def test_crash_cancels_the_orders_of_the_instance():
    async def scenario(standins, client):
        new = {'model': 'n', 'version': '1', 'bytes': 100 * GB}
        await send_order(client, 'o1', 'load_model', **new)
        standins.crash_target('e1')
        await anyio.sleep(5)
        late = await send_order(client, 'o2', 'load_model', **new)
        assert late.json()['error']['code'] == 'other_instance'
        assert standins.records.orders == []
        assert (await read_state(client))['orders'] == []

    run_scenario(scenario)


def test_lost_orders_lose_the_order_or_only_its_response():
    async def scenario(standins, client):
        standins.faults.switch_on(FaultName.LOST_ORDERS)
        for number in range(20):
            with pytest.raises(httpx.ReadError):
                await send_order(
                    client, f'o{number}', 'set_role', role='decode'
                )
        assert 0 < len((await read_state(client))['orders']) < 20

    run_scenario(scenario)


def test_engines_that_ignore_fences_accept_outdated_orders():
    async def scenario(standins, client):
        engine = standins.engines['e1']
        engine.settings = engine.settings._replace(checks_fence=False)
        await send_order(client, 'o1', 'fence', 5)
        stale = await send_order(client, 'o2', 'set_role', 1, role='decode')
        assert stale.status_code == 202
        assert (await read_state(client))['role'] == 'decode'

    run_scenario(scenario)


def test_cached_prefix_shortens_prefill_and_can_be_transferred():
    async def scenario(standins, client):
        async def measure(text):
            started_at = anyio.current_time()
            messages = [{'role': 'system', 'content': text}]
            body = {'model': 'm', 'messages': messages, 'max_tokens': 1}
            await client.post(COMPLETIONS, json=body)
            return anyio.current_time() - started_at

        text = 'x' * 8000
        first = await measure(text)
        assert await measure(text) < first / 2
        prefix = hash_prefix('m', [{'content': text}])
        key = {'model': 'm', 'prefix': prefix}
        url = f'{ENGINE}/admin/kv'
        block = (await client.post(f'{url}/export', json=key)).json()
        standins.engines['e1'].prefixes.evict_model('m')
        missing = await client.post(f'{url}/export', json=key)
        assert missing.status_code == 404
        assert (await client.post(f'{url}/import', json=block)).is_success
        assert await measure(text) < first / 2
        await anyio.sleep(1)
        events = (await client.get(f'{ENGINE}/v1/cache-events?after=0')).json()[
            'events'
        ]
        assert {'stored', 'evicted'} == {event['kind'] for event in events}

    run_scenario(scenario)


def test_cache_events_are_delayed_with_gaps_and_memory_is_limited():
    clock = ManualClock()
    cache = PrefixCache(clock, random.Random(1), 50, CacheReporting(0.5, 0.2))
    for number in range(40):
        cache.store('m', f'p{number}', 10)
    assert cache.list_events(0) == []
    clock.advance(1)
    numbers = [event.sequence for event in cache.list_events(0)]
    assert numbers == sorted(numbers)
    assert 0 < len(numbers) < numbers[-1] <= 75
    assert cache.count_tokens('m', 'p0') == 0
    assert cache.count_tokens('m', 'p39') == 10


def test_higher_priorities_start_first():
    batch = Batch(
        ManualClock(),
        EngineSpeed(batch_max=1),
        lambda: 10**12,
        lambda generation: None,
    )
    generations = [
        Generation(
            CompletionRequest(str(rank), 'm', '', '', '', 1, 1, rank), rank
        )
        for rank in (0, 1, 9)
    ]
    for generation in generations:
        batch.submit(generation, 0)
    assert batch.running == [generations[0]]
    batch.discard(generations[0])
    batch.submit(
        Generation(CompletionRequest('x', 'm', '', '', '', 1, 1), 3), 0
    )
    assert batch.running == [generations[2]]


def test_load_reports_lag_while_leaving_is_current():
    async def scenario(standins, client):
        engine = standins.engines['e1']
        assert isinstance(engine, Engine)
        await client.get(f'{ENGINE}/v1/load')
        async with client.stream(
            'POST', COMPLETIONS, json=make_body(stream=True, max_tokens=500)
        ):
            standins.leave_target('e1')
            early = (await client.get(f'{ENGINE}/v1/load')).json()
            await anyio.sleep(0.6)
            late = (await client.get(f'{ENGINE}/v1/load')).json()
        assert early['running'] == 0
        assert early['leaving']
        assert late['running'] == 1
        assert late['sequence'] > early['sequence']

    run_scenario(scenario)


def test_generation_without_a_reader_is_cancelled():
    async def scenario(standins, client):
        engine = standins.engines['e1']
        engine.settings = engine.settings._replace(orphan_s=1)
        body = make_body(stream=True, max_tokens=512)
        async with client.stream('POST', COMPLETIONS, json=body) as response:
            await anext(response.aiter_lines())
        await anyio.sleep(3)
        assert engine.in_progress == 0
        outcomes = {end.outcome for end in standins.records.ends.values()}
        assert outcomes == {'cancelled'}

    run_scenario(scenario)


def test_slow_weights_delay_a_load():
    async def scenario(standins, client):
        standins.faults.switch_on(FaultName.SLOW_WEIGHTS, Fault(delay_s=10))
        new = {'model': 'n', 'version': '1', 'bytes': GB}
        await send_order(client, 'o1', 'load_model', **new)
        await anyio.sleep(9)
        assert (await read_state(client))['held'][1]['state'] == 'loading'
        await anyio.sleep(3)
        assert (await read_state(client))['held'][1]['state'] == 'ready'

    run_scenario(scenario)


def test_role_changes_the_speed_until_the_instance_ends():
    async def scenario(standins, client):
        async def measure():
            started_at = anyio.current_time()
            await client.post(COMPLETIONS, json=make_body())
            return anyio.current_time() - started_at

        baseline_s = await measure()
        await send_order(client, 'o1', 'set_role', role='decode')
        assert await measure() < baseline_s
        await send_order(client, 'o2', 'set_role', role='prefill')
        assert await measure() > 1.5 * baseline_s
        await send_order(client, 'o3', 'set_role', role='unheard-of')
        states = {
            order['order_id']: order['state']
            for order in (await read_state(client))['orders']
        }
        assert states == {'o1': 'done', 'o2': 'done', 'o3': 'failed'}
        standins.crash_target('e1')
        await anyio.sleep(3)
        assert (await read_state(client))['role'] == 'both'

    run_scenario(scenario)
