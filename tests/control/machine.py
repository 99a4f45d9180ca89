"""Step controllers explicitly, so that tests control the interleaving."""

import random

from cassiarail.control.executor import Executor, ExecutorSettings, KeySize
from cassiarail.control.inventory import Inventory
from cassiarail.control.ledger import TargetSpec
from cassiarail.control.ledgers import LedgerStore
from cassiarail.control.orders import OrderOutcome
from cassiarail.control.rates import LoadShare
from cassiarail.core.clock import ManualClock
from cassiarail.core.exceptions import StaleFenceError, StoreError, TargetError
from cassiarail.core.invariants import Invariants
from cassiarail.placement.backends.base import (
    HoldingKey,
    Move,
    MoveKind,
    Plan,
)
from cassiarail.store.backends.memory import MemoryObjectStore
from cassiarail.store.leases import Lease
from cassiarail.store.writes import ConditionalWriter
from tests.control.engines import FakeEngineAdmin

LEASE_S = 10.0
KEYS = tuple(HoldingKey(name, 'v1') for name in ('a', 'b', 'c', 'd'))
SIZES = {
    KEYS[0]: KeySize(39, 2),
    KEYS[1]: KeySize(31),
    KEYS[2]: KeySize(58, 1),
    KEYS[3]: KeySize(7),
}


class Pause:
    """Suspend an explicitly driven coroutine once."""

    def __await__(self):
        yield self


class SteppedClock(ManualClock):
    async def sleep(self, seconds):
        self.advance(seconds)
        await Pause()


class SteppedStore(MemoryObjectStore):
    """Pause before and after each call takes effect."""

    def __init__(self):
        super().__init__()
        self.ledger_fences = {}
        self.stale_writes = 0

    async def read(self, kind, name):
        await Pause()
        found = await super().read(kind, name)
        await Pause()
        return found

    async def create(self, kind, name, document):
        await Pause()
        try:
            return await super().create(kind, name, document)
        finally:
            self._record_fence(kind, name)
            await Pause()

    async def replace(self, kind, name, document, version):
        await Pause()
        try:
            return await super().replace(kind, name, document, version)
        finally:
            self._record_fence(kind, name)
            await Pause()

    def _record_fence(self, kind, name):
        stored = self.peek(kind, name)
        if kind == 'ledger' and stored is not None:
            fence = stored.document['fence']
            if fence < self.ledger_fences.get(name, 0):
                self.stale_writes += 1
            self.ledger_fences[name] = fence


class SteppedAdmin(FakeEngineAdmin):
    """Pause around calls; the simulation decides how orders are delivered."""

    def __init__(self, simulation):
        super().__init__(simulation.engines)
        self.simulation = simulation
        self.last_instances = {}

    async def read_state(self, address):
        await Pause()
        report = await super().read_state(address)
        self.last_instances[address] = report['instance']
        await Pause()
        return report

    async def send_order(self, address, order):
        self.simulation.sender_views[order['order_id']] = (
            dict(self.last_instances),
            self.simulation.clock.monotonic(),
        )
        await Pause()
        delivery = self.simulation.delivery
        if delivery == 'lose':
            return OrderOutcome.UNKNOWN
        if delivery == 'late':
            self.simulation.late_orders.append((address, order))
            return OrderOutcome.UNKNOWN
        outcome = await super().send_order(address, order)
        await Pause()
        if delivery == 'unanswered' and not outcome.is_void:
            return OrderOutcome.UNKNOWN
        return outcome


class Controller:
    """Hold one controller and its current operation."""

    def __init__(self, name, simulation):
        self.simulation = simulation
        self.random = random.Random(name)
        self.writer = ConditionalWriter(
            simulation.store, simulation.clock, self.random, LEASE_S / 4
        )
        self.lease = Lease(
            self.writer,
            'dc.placement',
            name,
            simulation.clock,
            self.random,
            LEASE_S,
        )
        self.admin = SteppedAdmin(simulation)
        self.term = None
        self.running = None

    def begin(self, operation):
        assert self.running is None
        self.running = operation

    def step(self):
        """Run the current operation up to its next pause."""
        try:
            self.running.send(None)
        except StopIteration:
            self.running = None
        except StaleFenceError:
            self.running = None
            self.term = None
        except (StoreError, TargetError):
            self.running = None

    def finish(self):
        while self.running is not None:
            self.step()

    async def compete(self):
        await self.lease.attempt()

    async def take_over(self):
        if not self.lease.is_held():
            return
        if self.term is None or self.term.fence != self.lease.fence:
            self.term = LeadershipTerm(self, self.lease.fence)
        await self.term.ledgers.take_over(self.simulation.specs.values())
        self.term.ready = True

    async def refresh(self, target):
        if self.is_leading() and self.term.ledgers.has_ledger(target):
            await self.term.inventory.refresh(self.simulation.specs[target])

    async def move(self, kind, target, key):
        if self.is_leading():
            plan = Plan({}, (Move(kind, target, key),), {})
            await self.term.executor.execute(
                plan, self.simulation.specs, SIZES, lambda _model: False
            )

    def is_leading(self):
        # A paused lease holder continues although its lease may have expired,
        # so this check is only made where an operation starts.
        return self.term is not None and self.term.ready


class LeadershipTerm:
    def __init__(self, controller, fence):
        simulation = controller.simulation
        self.fence = fence
        self.ready = False
        self.invariants = Invariants()
        self.ledgers = LedgerStore(controller.writer, self.invariants, fence)
        self.inventory = Inventory(
            self.ledgers,
            controller.admin,
            simulation.clock,
            lambda key: SIZES[key].kv_reserve_bytes,
        )
        self.executor = Executor(
            self.ledgers,
            self.inventory,
            controller.admin,
            lambda: (
                controller.lease.is_held() and controller.lease.fence == fence
            ),
            ExecutorSettings(LoadShare(1000, 10, 10), resend_s=2),
            simulation.clock,
            controller.random,
        )


class Simulation:
    """Hold two controllers, their store and their targets."""

    def __init__(self, engines):
        self.clock = SteppedClock()
        self.store = SteppedStore()
        self.engines = {engine.name: engine for engine in engines}
        self.delivery = 'deliver'
        self.late_orders = []
        self.sender_views = {}
        self.specs = {
            engine.name: TargetSpec(
                engine.name,
                engine.name,
                'llm',
                4,
                engine.memory_bytes // 4,
                engine.checks_fence,
            )
            for engine in engines
        }
        self.controllers = [Controller(name, self) for name in 'xy']


__all__ = ('KEYS', 'SIZES', 'Controller', 'MoveKind', 'Simulation')
