"""Test the stand-ins of the object API, services, weights and hosts."""

import random

import anyio
import httpx
import pytest

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.standins.control import ControlApi
from cassiarail.standins.fault_injection import FaultInjector, draw_schedule
from cassiarail.standins.faults import Fault, FaultName
from cassiarail.standins.holdings import AdapterLoader
from tests.standins.support import ENGINE, SERVICE, STORE, run_scenario

IF_ABSENT = {'If-None-Match': '*'}


def test_store_refuses_writes_with_an_outdated_version():
    async def scenario(standins, client):
        url = f'{STORE}/objects/lease/a'
        first = (await client.put(url, json=1, headers=IF_ABSENT)).json()[
            'version'
        ]
        assert (
            await client.put(url, json=2, headers=IF_ABSENT)
        ).status_code == 412
        match = {'If-Match': f'{first}'}
        second = (await client.put(url, json=2, headers=match)).json()
        stale = await client.put(url, json=3, headers=match)
        assert stale.status_code == 412
        assert stale.json()['version'] == second['version']
        assert stale.json()['value'] == 2
        latest = {'If-Match': f'{second["version"]}'}
        assert (await client.delete(url, headers=latest)).status_code == 200
        third = (await client.put(url, json=4, headers=IF_ABSENT)).json()[
            'version'
        ]
        assert third > second['version']
        assert standins.store.count_calls('lease') == 6

    run_scenario(scenario)


def test_watch_reports_changes_and_deletions_and_old_revisions_expire():
    async def scenario(standins, client):
        url = f'{STORE}/objects/claim/x'

        async def change_later():
            await anyio.sleep(3)
            created = await client.put(url, json=1, headers=IF_ABSENT)
            match = {'If-Match': f'{created.json()["version"]}'}
            await client.delete(url, headers=match)

        async with anyio.create_task_group() as group:
            group.start_soon(change_later)
            watch = f'{STORE}/watch/claim?after=0&timeout=20'
            changes = (await client.get(watch, timeout=30)).json()
        assert changes['objects'][0]['name'] == 'x'
        remainder = await client.get(
            f'{STORE}/watch/claim?after={changes["revision"]}&timeout=1'
        )
        assert remainder.json()['deleted'] == ['x']
        for number in range(2001):
            standins.store.table.write('claim', f'{number}', number)
        expired = await client.get(f'{STORE}/watch/claim?after=1&timeout=1')
        assert expired.status_code == 410

    run_scenario(scenario)


def test_store_faults_refuse_delay_and_lose_responses_after_the_write():
    async def scenario(standins, client):
        url = f'{STORE}/objects/lease/b'
        faults = standins.faults
        faults.switch_on(FaultName.STORE_OUTAGE)
        assert (
            await client.put(url, json=1, headers=IF_ABSENT)
        ).status_code == 503
        faults.switch_off(FaultName.STORE_OUTAGE)
        assert standins.store.table.find('lease', 'b') is None
        faults.switch_on(FaultName.STORE_ANSWER_LOST)
        with pytest.raises(httpx.ReadError):
            await client.put(url, json=1, headers=IF_ABSENT)
        assert (await client.get(url)).json()['value'] == 1
        faults.switch_on(FaultName.SLOW_STORE, Fault(delay_s=2))
        started_at = anyio.current_time()
        await client.get(url)
        assert anyio.current_time() - started_at >= 2

    run_scenario(scenario)


def test_the_store_comes_back_from_a_copy_in_the_next_era():
    async def scenario(standins, client):
        kept, lost = (f'{STORE}/objects/lease/{name}' for name in 'ab')
        injector = FaultInjector(standins, LoopClock())
        first = await client.put(kept, json=1, headers=IF_ABSENT)
        assert first.headers['store-era'] == '1'
        injector.apply({'name': 'store_copy', 'duration_s': 5})
        match = {'If-Match': f'{first.json()["version"]}'}
        await client.put(kept, json=2, headers=match)
        second = await client.put(lost, json=1, headers=IF_ABSENT)
        revision = second.json()['version']
        watch = f'{STORE}/watch/lease?after={revision}&timeout=20'
        waiting = await client.get(watch, timeout=30)
        assert waiting.headers['store-era'] == '2'
        assert (await client.get(watch)).status_code == 410
        assert (await client.get(lost)).status_code == 404
        assert (await client.get(kept)).json()['value'] == 1
        # The revision is given out again.
        again = await client.put(kept, json=3, headers=match)
        assert again.json()['version'] == revision - 1
        assert again.headers['store-era'] == '2'

    run_scenario(scenario)


def test_each_executed_call_writes_its_filing_again():
    """The record store must not hide a repeated call or a doubled write."""

    async def scenario(standins, client):
        filing = {'id': 'f1', 'amount': 3}
        headers = {'Idempotency-Key': 'k1', 'X-Request-Id': 'r1'}
        url = f'{SERVICE}/filings'
        created = await client.post(url, json=filing, headers=headers)
        assert created.status_code == 201
        standins.faults.switch_on(FaultName.SERVICE_ANSWER_LOST)
        with pytest.raises(httpx.ReadError):
            await client.post(url, json=filing, headers=headers)
        standins.faults.switch_off(FaultName.SERVICE_ANSWER_LOST)
        assert len(standins.records.filings) == 2
        standins.faults.switch_on(FaultName.SERVICE_RUNS_TWICE)
        await client.post(url, json={**filing, 'id': 'f2'}, headers=headers)
        assert len(standins.records.filings) == 4
        read = await client.get(f'{SERVICE}/records/f1')
        assert read.json() == filing

    run_scenario(scenario)


def test_weight_loads_above_the_rate_limit_are_refused():
    async def scenario(standins, client):
        sequential_statuses = [
            (await client.get(f'http://10.0.1.2:80/weights/m/{n}')).status_code
            for n in range(2)
        ]
        statuses = []

        async def load(number):
            url = f'http://10.0.1.2:80/weights/m/{number}'
            statuses.append((await client.get(url)).status_code)

        async with anyio.create_task_group() as group:
            for number in range(4):
                group.start_soon(load, number)
        assert sequential_statuses == [200, 200]
        assert sorted(statuses) == [200, 200, 429, 429]

    run_scenario(scenario)


def test_adapter_loads_slow_down_above_the_shared_limit():
    async def main():
        loader = AdapterLoader(LoopClock(), limit=55, base_s=0.02)

        async def measure(count):
            started_at = anyio.current_time()
            async with anyio.create_task_group() as group:
                for _ in range(count):
                    group.start_soon(loader.load)
            return anyio.current_time() - started_at

        assert await measure(55) == pytest.approx(0.02)
        assert await measure(110) == pytest.approx(0.04)

    run_virtual(main)


def test_host_list_shows_changes_after_the_lag():
    async def scenario(standins, client):
        async def read_state():
            response = await client.get('http://10.0.1.3:80/hosts')
            states = {
                entry['name']: entry['state']
                for entry in response.json()['hosts']
            }
            return states['e1']

        standins.faults.switch_on(FaultName.HOST_LIST_LAG, Fault(delay_s=1))
        standins.leave_target('e1')
        await anyio.sleep(2.5)
        assert await read_state() == 'live'
        await anyio.sleep(1)
        assert await read_state() == 'leaving'

    run_scenario(scenario)


def test_control_api_switches_faults_which_end_by_themselves():
    async def scenario(standins, client):
        clock = LoopClock()
        control = ControlApi(standins, FaultInjector(standins, clock))
        standins.listener.listen('10.0.1.4:80', control.application)
        url = 'http://10.0.1.4:80/faults'
        outage = {'name': 'store_outage', 'duration_s': 3}
        assert (await client.post(url, json=outage)).json() == {
            'faults': ['store_outage'],
        }
        await anyio.sleep(4)
        assert (await client.get(url)).json() == {'faults': []}
        assert (await client.post(url, json={'name': 'x'})).status_code == 400
        crash = {'name': 'target_crash', 'subjects': ['e1']}
        await client.post(url, json=crash)
        with pytest.raises(httpx.ConnectError):
            await client.get(f'{ENGINE}/admin/state')
        silent = {'name': 'silent_connections', 'subjects': ['s1']}
        await client.get(f'{SERVICE}/load')
        await client.post(url, json=silent)
        with pytest.raises(httpx.ReadTimeout):
            await client.get(f'{SERVICE}/load')
        partition = {'name': 'partition', 'subjects': ['bex', 'platform']}
        await client.post(url, json=partition)
        assert not standins.listener._network.can_reach(
            '10.0.0.1:80', '10.0.1.1:80'
        )

    run_scenario(scenario)


def test_schedule_is_reproducible_by_seed_and_covers_every_fault():
    def draw(seed):
        return draw_schedule(random.Random(seed), 60, 14, ['e1'], ['bex'])

    assert draw(5) == draw(5) != draw(6)
    assert len({timed.document['name'] for timed in draw(5)}) == 14
