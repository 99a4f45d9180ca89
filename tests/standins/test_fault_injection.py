"""Test runs with all faults: reproducibility and recovery."""

import random

import anyio
import httpx

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.standins.application import Standins
from cassiarail.standins.fault_injection import FaultInjector, draw_schedule
from cassiarail.standins.listeners import MemoryListener
from cassiarail.standins.network import MemoryTransport, Network
from tests.standins.support import make_settings

DATA_CENTRES = ('bex', 'riburg')


def make_large_settings():
    settings = make_settings()
    engine, held_entry = settings['engines'][0], settings['held'][0]
    settings['engines'] = [
        {
            **engine,
            'name': f'e{number}',
            'address': f'10.0.2.{number}:80',
            'data_centre': DATA_CENTRES[number % 2],
        }
        for number in range(4)
    ]
    settings['held'] = [
        {**held_entry, 'target': f'e{number}'} for number in range(4)
    ]
    return settings


async def send_requests(client, address, generator, clock):
    for number in range(60):
        await clock.sleep(generator.uniform(0, 1))
        body = {
            'model': 'm',
            'messages': [{'role': 'user', 'content': f'{address} {number}'}],
            'max_tokens': 40,
        }
        try:
            await client.post(
                f'http://{address}/v1/chat/completions', json=body
            )
        except httpx.TransportError:
            continue


def run_with_faults(seed):
    """Return the records, engine states, active faults and pauses of a run."""
    pauses = []

    async def main():
        async with anyio.create_task_group() as group:
            clock = LoopClock()
            network = Network(group)
            standins = Standins(
                make_large_settings(),
                clock,
                MemoryListener(network),
                MemoryTransport(network, 'engines'),
            )
            await standins.start()
            group.start_soon(standins.run)
            injector = FaultInjector(
                standins, clock, lambda name, seconds: pauses.append(seconds)
            )
            schedule = draw_schedule(
                random.Random(seed),
                30,
                28,
                sorted(standins.targets),
                DATA_CENTRES,
            )
            transport = MemoryTransport(network, 'client')
            async with httpx.AsyncClient(transport=transport) as client:
                async with anyio.create_task_group() as request_group:
                    request_group.start_soon(injector.run_schedule, schedule)
                    for engine in standins.engines.values():
                        request_group.start_soon(
                            send_requests,
                            client,
                            engine.settings.address,
                            random.Random(seed),
                            clock,
                        )
                await clock.sleep(60)
                states = [
                    (await client.get(f'http://{address}/admin/state')).json()
                    for address in (
                        engine.settings.address
                        for engine in standins.engines.values()
                    )
                ]
                faults = standins.faults.list_active()
            group.cancel_scope.cancel()
            return standins.records.describe(), states, faults

    return (*run_virtual(main), pauses)


def test_run_with_every_fault_is_reproducible_and_targets_recover():
    records, states, faults, pauses = run_with_faults(11)
    assert (records, states, faults, pauses) == run_with_faults(11)
    assert {run['outcome'] for run in records['runs']} >= {
        'completed',
        'crashed',
    }
    assert records['departures']
    assert faults == []
    assert len(pauses) == 2
    assert all(not state['leaving'] for state in states)
