"""Run test scenarios against one engine, one service and the platform."""

import anyio
import httpx

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.standins.application import Standins
from cassiarail.standins.listeners import MemoryListener
from cassiarail.standins.network import MemoryTransport, Network

GB = 10**9
ENGINE = 'http://10.0.0.1:80'
SERVICE = 'http://10.0.0.2:80'
STORE = 'http://10.0.1.1:80'


def make_settings():
    return {
        'seed': 7,
        'engines': [
            {
                'name': 'e1',
                'service': 'salzmodell',
                'data_centre': 'bex',
                'address': '10.0.0.1:80',
                'accelerators': 2,
                'memory_bytes': 1000 * GB,
                'checks_fence': True,
            },
        ],
        'services': [
            {
                'name': 's1',
                'service': 'ernteregister',
                'data_centre': 'bex',
                'address': '10.0.0.2:80',
            },
        ],
        'entry_hosts': [],
        'held': [
            {'target': 'e1', 'model': 'm', 'version': '1', 'bytes': 400 * GB}
        ],
        'objects_address': '10.0.1.1:80',
        'weights_address': '10.0.1.2:80',
        'hosts_address': '10.0.1.3:80',
        'control_address': '10.0.1.4:80',
        'weight_loads_per_second': 2.0,
        'weight_loads_at_once': 7,
        'adapter_loads_in_flight': 55,
        'restart_s': 2.0,
        'leave_s': 30.0,
        'host_list_lag_s': 2.0,
        'faults': [],
    }


def run_scenario(scenario):
    async def main():
        async with anyio.create_task_group() as group:
            network = Network(group)
            transport = MemoryTransport(network, 'client')
            standins = Standins(
                make_settings(),
                LoopClock(),
                MemoryListener(network),
                MemoryTransport(network, 'e1'),
            )
            await standins.start()
            group.start_soon(standins.run)
            await anyio.sleep(0.01)
            async with httpx.AsyncClient(transport=transport) as client:
                await scenario(standins, client)
            group.cancel_scope.cancel()

    run_virtual(main)
