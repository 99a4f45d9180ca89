"""Test the engine stand-in, on which every audit depends."""

import json
import random

import anyio
import httpx
import pytest

from cassiarail.standins import tokens
from cassiarail.standins.completions import POISON_MARKER
from cassiarail.standins.faults import ActiveFaults, Fault, FaultName
from tests.standins.support import ENGINE, GB, run_scenario


def make_body(text='hello', **more):
    messages = [{'role': 'user', 'content': text}]
    return {'model': 'm', 'messages': messages, 'max_tokens': 20, **more}


async def read_stream(client, url, method='POST', **more):
    """Return the tokens by event id and whether the stream completed."""
    received = {}
    done = False
    index = None
    async with client.stream(method, url, **more) as response:
        async for line in response.aiter_lines():
            if line.startswith('id: '):
                index = int(line[4:])
            elif line == 'data: [DONE]':
                done = True
            elif line.startswith('data: '):
                delta = json.loads(line[6:])['choices'][0]['delta']
                if 'content' in delta:
                    received[index] = delta['content']
    return received, done


def make_expected_tokens(body):
    fingerprint = tokens.fingerprint_body(body)
    count = min(body['max_tokens'], tokens.count_natural_tokens(fingerprint))
    return {
        index: tokens.make_token(fingerprint, index) for index in range(count)
    }


def test_streams_and_complete_responses_have_the_text_of_the_request():
    async def scenario(standins, client):
        body = make_body(stream=True)
        received, done = await read_stream(
            client, f'{ENGINE}/v1/chat/completions', json=body
        )
        assert done
        assert received == make_expected_tokens(body)
        response = await client.post(
            f'{ENGINE}/v1/chat/completions', json=make_body()
        )
        choice = response.json()['choices'][0]
        assert choice['message']['content'] == ''.join(received.values())
        assert [end.outcome for end in standins.records.ends.values()] == [
            'completed',
            'completed',
        ]

    run_scenario(scenario)


def test_stream_resumes_on_the_same_engine_and_on_another_one():
    async def scenario(standins, client):
        body = make_body(stream=True)
        url = f'{ENGINE}/v1/chat/completions'
        headers = {'X-Request-Id': 'r1'}
        async with client.stream(
            'POST', url, json=body, headers=headers
        ) as response:
            await anext(response.aiter_lines())
        resumed, done = await read_stream(
            client, f'{ENGINE}/v1/streams/r1?after=5', 'GET'
        )
        expected = make_expected_tokens(body)
        assert done
        assert resumed == {key: expected[key] for key in expected if key >= 5}
        text = ''.join(expected[key] for key in range(5))
        moved = {**body, 'resume_after': 5, 'generated': text}
        assert (await read_stream(client, url, json=moved))[0] == resumed
        wrong = {**moved, 'generated': 'x' * 25}
        assert (await read_stream(client, url, json=wrong))[0] != resumed

    run_scenario(scenario)


def test_larger_batch_slows_each_stream():
    async def scenario(standins, client):
        url = f'{ENGINE}/v1/chat/completions'

        async def measure(count):
            started_at = anyio.current_time()
            async with anyio.create_task_group() as group:
                for number in range(count):
                    body = make_body(f'{number}')
                    group.start_soon(lambda b=body: client.post(url, json=b))
            return anyio.current_time() - started_at

        assert await measure(40) > 1.5 * await measure(1)

    run_scenario(scenario)


def test_poison_request_crashes_the_engine_which_restarts_empty():
    async def scenario(standins, client):
        standins.faults.switch_on(FaultName.POISON_REQUEST)
        url = f'{ENGINE}/v1/chat/completions'
        with pytest.raises(httpx.ReadError):
            await client.post(url, json=make_body(POISON_MARKER))
        with pytest.raises(httpx.ConnectError):
            await client.get(f'{ENGINE}/admin/state')
        await anyio.sleep(3)
        state = (await client.get(f'{ENGINE}/admin/state')).json()
        assert state['instance'] == 'e1#2'
        assert state['held'] == []
        refusal = await client.post(url, json=make_body())
        assert refusal.headers['x-verdict'] == 'not-run'
        assert refusal.json()['error']['code'] == 'not_loaded'

    run_scenario(scenario)


async def send_order(client, order_id, kind, fence=1, instance='e1#1', **more):
    order = {
        'order_id': order_id,
        'fence': fence,
        'instance': instance,
        'kind': kind,
        **more,
    }
    return await client.post(f'{ENGINE}/admin/orders', json=order)


def test_orders_load_models_check_fences_and_record_overcommitment():
    async def scenario(standins, client):
        load = {'model': 'n', 'version': '1', 'bytes': 500 * GB}
        assert (
            await send_order(client, 'o1', 'load_model', 2, **load)
        ).is_success
        adapter = {
            'model': 'm',
            'version': '1',
            'adapter': 'a',
            'bytes': 50 * GB,
        }
        await send_order(client, 'o2', 'load_adapter', 2, **adapter)
        stale = await send_order(client, 'o3', 'load_model', 1, **load)
        assert stale.json()['error']['code'] == 'stale_fence'
        await anyio.sleep(5)
        state = (await client.get(f'{ENGINE}/admin/state')).json()
        assert [order['state'] for order in state['orders']] == ['done', 'done']
        assert {(entry['kind'], entry['state']) for entry in state['held']} == {
            ('model', 'ready'),
            ('adapter', 'ready'),
        }
        assert standins.records.find_overcommitted_bytes_max() == 0
        more = {'model': 'p', 'version': '1', 'bytes': 100 * GB}
        await send_order(client, 'o4', 'load_model', 2, **more)
        await anyio.sleep(5)
        assert standins.records.find_overcommitted_bytes_max() == 50 * GB

    run_scenario(scenario)


def test_late_orders_take_effect_after_the_sender_timed_out():
    async def scenario(standins, client):
        standins.faults.switch_on(FaultName.LATE_ORDERS, Fault(delay_s=8))
        with pytest.raises(httpx.ReadTimeout):
            await send_order(
                client, 'o1', 'unload_model', model='m', version='1'
            )
        standins.faults.switch_off(FaultName.LATE_ORDERS)
        assert (await client.get(f'{ENGINE}/admin/state')).json()['held']
        await anyio.sleep(5)
        assert not (await client.get(f'{ENGINE}/admin/state')).json()['held']

    run_scenario(scenario)


def test_leaving_target_refuses_requests_and_records_late_arrivals():
    async def scenario(standins, client):
        standins.leave_target('e1')
        url = f'{ENGINE}/v1/chat/completions'
        assert (await client.get(f'{ENGINE}/v1/load')).json()['leaving']
        refusal = await client.post(url, json=make_body())
        assert refusal.json()['error']['code'] == 'leaving'
        assert not standins.records.list_late_arrivals()
        await anyio.sleep(3.5)
        await client.post(url, json=make_body())
        assert len(standins.records.list_late_arrivals()) == 1

    run_scenario(scenario)


def test_planned_stop_that_interrupts_a_stream_is_recorded():
    async def scenario(standins, client):
        standins.settings['leave_s'] = 0.1
        body = make_body(stream=True, max_tokens=500)
        standins.leave_target('e1')
        standins.engines['e1'].is_leaving = False
        url = f'{ENGINE}/v1/chat/completions'
        async with client.stream('POST', url, json=body) as response:
            lines = response.aiter_lines()
            await anext(lines)
            standins.engines['e1'].is_leaving = True
            with pytest.raises(httpx.ReadError):
                async for _line in lines:
                    pass
        assert len(list(standins.records.list_interrupted_runs())) == 1

    run_scenario(scenario)


def test_faults_are_reproducible_by_seed():
    def draw():
        faults = ActiveFaults(random.Random(3))
        faults.switch_on(FaultName.LOST_ORDERS, Fault(probability=0.5))
        return [faults.should_trigger(FaultName.LOST_ORDERS) for _ in range(20)]

    assert draw() == draw()
    assert len(set(draw())) == 2
