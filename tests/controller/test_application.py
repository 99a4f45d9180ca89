"""Guard the control loop of a data centre over HTTP in virtual time."""

import random

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from cassiarail.control.orders import OrderOutcome
from cassiarail.controller.application import (
    ControllerSettings,
    PlacementControl,
)
from cassiarail.controller.inputs import DemandSource
from cassiarail.core.clock import LoopClock
from cassiarail.core.events import CHILD_CRASHED, list_recent_events
from cassiarail.core.exceptions import StoreUnavailableError
from cassiarail.core.lifecycle import Application
from cassiarail.core.loops import run_virtual
from cassiarail.standins.network import MemoryTransport, Network
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.backends.memory import MemoryObjectStore
from tests.control.engines import FakeEngine
from tests.controller.first_fit import FirstFitPolicy

WORK_S = 1.0
MODELS = ('a', 'b', 'c')


class NoDemand(DemandSource):
    def forecast(self):
        return {}

    def read_capacity(self, target):
        return 1


def declare(targets, replicas, models=MODELS):
    return {
        'fleet': {
            'deployment': 'test',
            'region': 'r',
            'data_centres': ['dc'],
            'defaults': {'replicas_min': replicas, 'kv_reserve_bytes': 5},
            'platform': {
                'weight_loads_per_second': 2,
                'weight_loads_at_once': 2,
                'adapter_loads_in_flight': 5,
            },
        },
        'models': [
            {
                'name': name,
                'service': 'llm',
                'version': 'v1',
                'bytes': 20,
                'adapters': [],
            }
            for name in models
        ],
        'services': [
            {
                'name': 'llm',
                'kind': 'engine',
                'checks_fence': True,
                'idempotent_paths': [],
                'targets': [
                    {
                        'name': name,
                        'data_centre': 'dc',
                        'address': f'{name}:80',
                        'accelerators': 2,
                        'accelerator_memory_bytes': 50,
                    }
                    for name in targets
                ],
            },
        ],
        'callers': [],
        'exceptions': [],
    }


class DisconnectableStore(ObjectStore):
    """Access a store over a connection that a test can interrupt."""

    def __init__(self, store):
        self.store = store
        self.is_disconnected = False

    def require_connection(self):
        if self.is_disconnected:
            raise StoreUnavailableError('the store is disconnected')
        return self.store

    async def read(self, kind, name):
        return await self.require_connection().read(kind, name)

    async def list_objects(self, kind, prefix=''):
        return await self.require_connection().list_objects(kind, prefix)

    async def create(self, kind, name, document):
        return await self.require_connection().create(kind, name, document)

    async def replace(self, kind, name, document, version):
        return await self.require_connection().replace(
            kind, name, document, version
        )

    async def delete(self, kind, name, version):
        await self.require_connection().delete(kind, name, version)

    async def watch(self, kind, after, timeout_s, prefix=''):
        return await self.require_connection().watch(
            kind, after, timeout_s, prefix
        )


class Fleet:
    """Run engines behind the network and controllers against them."""

    def __init__(self, group, targets, replicas):
        self.group = group
        self.clock = LoopClock()
        self.network = Network(group)
        self.store = MemoryObjectStore(self.clock)
        self.declarations = declare(targets, replicas)
        self.engines = {}
        self.loading_max = 0
        self.orders = 0
        for name in targets:
            self.engines[name] = FakeEngine(name, 100, True)
            self.serve(name)
        group.start_soon(self.work)

    def serve(self, name):
        engine = self.engines[name]

        async def state(request):
            return JSONResponse(engine.report())

        async def orders(request):
            self.orders += 1
            order = msgspec.json.decode(await request.body())
            outcome = engine.receive(order)
            if outcome is OrderOutcome.ACCEPTED:
                return JSONResponse({'accepted': True}, 202)
            body = {'error': {'code': outcome.value}}
            return JSONResponse(body, 409)

        self.network.listen(
            f'{name}:80',
            Starlette(
                routes=[
                    Route('/admin/state', state),
                    Route('/admin/orders', orders, methods=['POST']),
                ],
            ),
        )

    async def work(self):
        while True:
            await anyio.sleep(WORK_S)
            for engine in self.engines.values():
                engine.advance()
            loading = [
                key
                for engine in self.engines.values()
                for key, (_size, state) in engine.held.items()
                if state == 'loading'
            ]
            self.loading_max = max(self.loading_max, len(loading))

    def kill(self, name):
        self.network.kill(f'{name}:80')
        self.engines[name].restart()

    def control(self, name, store=None):
        control = PlacementControl(
            ControllerSettings(name, 'dc'),
            lambda: self.declarations,
            store or self.store,
            lambda: MemoryTransport(self.network, name),
            FirstFitPolicy(),
            NoDemand(),
            self.clock,
            random.Random(name),
        )
        application = Application(
            name, control.components, self.clock, random.Random(name)
        )
        self.group.start_soon(application.run)
        return control, application

    def list_copies(self, model):
        return [
            name
            for name, engine in self.engines.items()
            if self.network.is_listening(f'{name}:80')
            for key, (_size, state) in engine.held.items()
            if key.model == model and state == 'ready'
        ]

    def all_placed(self, replicas):
        return all(len(self.list_copies(name)) >= replicas for name in MODELS)


def run(scenario, targets=('t1', 't2', 't3'), replicas=2):
    async def main():
        async with anyio.create_task_group() as group:
            await scenario(Fleet(group, targets, replicas))
            group.cancel_scope.cancel()

    run_virtual(main)


def test_plans_round_memory_as_the_ledgers_do():
    """A plan that fits only without rounding would never be executed.

    Each model needs 25 bytes before rounding and 26 after it, so that three
    and not four fit on a target.
    """

    async def scenario(fleet):
        fleet.declarations = declare(fleet.engines, 1, 'abcdefgh')
        fleet.control('x')
        await anyio.sleep(90)
        for name in 'abcdefgh':
            assert fleet.list_copies(name), name

    run(scenario, replicas=1)


def test_replaces_copies_after_a_crash_and_uses_the_new_instance():
    """A crashed target's models must be ready elsewhere within a minute."""

    async def scenario(fleet):
        control, _application = fleet.control('x')
        await anyio.sleep(60)
        assert fleet.all_placed(2)
        assert fleet.loading_max <= 2
        fleet.kill('t1')
        await anyio.sleep(60)
        assert fleet.all_placed(2)
        # After the second crash only the new instance has free memory.
        fleet.serve('t1')
        await anyio.sleep(10)
        fleet.kill('t2')
        await anyio.sleep(60)
        assert fleet.all_placed(2)
        assert not control.invariants.broken
        status = fleet.store.peek('status', 'dc').document
        reachable = {
            target['name']: target['reached'] for target in status['targets']
        }
        assert reachable == {'t1': True, 't2': False, 't3': True}
        assert not status['unplaced']

    run(scenario)


def test_another_controller_takes_over_from_a_partitioned_one():
    """A leader without the store must stop before another one acts."""

    async def scenario(fleet):
        disconnectable = DisconnectableStore(fleet.store)
        first, _application = fleet.control('x', disconnectable)
        await anyio.sleep(5)
        second, _application = fleet.control('y')
        await anyio.sleep(30)
        assert first.lease.is_held()
        disconnectable.is_disconnected = True
        for _second in range(60):
            await anyio.sleep(1)
            assert not (first.lease.is_held() and second.lease.is_held())
        assert second.lease.is_held()
        fences = {
            fleet.store.peek('ledger', name).document['fence']
            for name in fleet.engines
        }
        assert fences == {second.lease.fence}
        assert {engine.fence for engine in fleet.engines.values()} == fences
        fleet.kill('t1')
        await anyio.sleep(60)
        assert fleet.all_placed(2)

    run(scenario)


def test_superseded_lease_holder_steps_down_without_crashing():
    """A leader that reads a higher token must end its term, not restart."""

    async def scenario(fleet):
        control, _application = fleet.control('x')
        await anyio.sleep(20)
        for name in fleet.engines:
            found = fleet.store.peek('ledger', name)
            document = {**found.document, 'fence': 7}
            await fleet.store.replace('ledger', name, document, found.version)
        # The leader writes ledgers only when a report differs.
        fleet.engines['t1'].restart()
        crashes = len(list_crashes())
        steps = []
        while control.placement_loop.status is not None and len(steps) < 60:
            steps.append(await anyio.sleep(1))
        assert control.placement_loop.status is None
        assert len(list_crashes()) == crashes

    run(scenario)


def list_crashes():
    return [
        occurrence
        for occurrence in list_recent_events()
        if occurrence.event is CHILD_CRASHED
    ]


def test_no_order_is_sent_during_a_store_outage():
    """Orders without a ledger could overcommit memory."""

    async def scenario(fleet):
        fleet.control('x')
        fleet.control('y')
        await anyio.sleep(60)
        fleet.store.switches.outage = True
        before = fleet.orders
        fleet.kill('t1')
        await anyio.sleep(120)
        assert fleet.orders == before
        fleet.store.switches.outage = False
        await anyio.sleep(60)
        assert fleet.all_placed(2)

    run(scenario)


def test_leaving_target_unloads_last_copies_only_after_replacement():
    """Planned stops must not make a model unreachable."""

    async def scenario(fleet):
        fleet.control('x')
        await anyio.sleep(60)
        [holding_target] = fleet.list_copies('a')
        fleet.engines[holding_target].leaving = True
        for _second in range(60):
            await anyio.sleep(1)
            assert fleet.all_placed(1)
        assert not fleet.engines[holding_target].held

    run(scenario, ('t1', 't2'), replicas=1)


def test_graceful_stop_releases_the_lease_immediately():
    """A restart of every host in turn must not stop placement for long."""

    async def scenario(fleet):
        _first, application = fleet.control('x')
        await anyio.sleep(5)
        second, _application = fleet.control('y')
        await anyio.sleep(5)
        application.request_stop()
        await anyio.sleep(5)
        assert second.lease.is_held()

    run(scenario)
