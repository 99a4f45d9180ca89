"""Guard the configuration against reverts, lost changes and slow spread.

The state machine runs five controllers in virtual time against a store with
outages and lost responses, and compares them with what the store accepted.
"""

import asyncio

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cassiarail.control.configuration import (
    ConfigurationConflictError,
    apply_configuration,
)
from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.exceptions import StoreError, StoreOutcomeUnknownError
from cassiarail.core.loops import VirtualTimeLoop
from cassiarail.membership.bundles import BundleHistory
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.membership.simulation import SimulatedFleet, name_controllers
from cassiarail.store.backends.memory import MemoryObjectStore

_COUNT = 5
_BOUND_S = 3
_ADDRESSES = st.sampled_from(name_controllers(_COUNT))


class _Simulation:
    """Hold the fleet, the store and the outcomes reported to operators."""

    def __init__(self):
        self.clock = LoopClock(MANUAL_START)
        self.store = MemoryObjectStore(self.clock)
        self.history = {}
        self.reported = {}
        self.tokens = 0

    async def run(self, started):
        async with anyio.create_task_group() as group:
            self.fleet = SimulatedFleet(group, self.clock, self.store, 1)
            for address in name_controllers(_COUNT):
                self.fleet.start(address)
            started.set()
            await anyio.sleep_forever()

    def peek(self):
        stored = self.store.peek('configuration', 'current')
        return stored.document if stored else None

    def generation(self):
        document = self.peek()
        return document['generation'] if document else 0

    async def apply(self, seen, token):
        declarations = {'models': [{'name': token}]}
        try:
            generation = await apply_configuration(
                self.store, seen, declarations, token, token, self.clock
            )
        except ConfigurationConflictError as error:
            is_other = error.current['author'] != token
            self.reported[token] = 'conflict' if is_other else 'own conflict'
        except StoreOutcomeUnknownError:
            self.reported[token] = 'unknown'
        except StoreError:
            self.reported[token] = 'not written'
        else:
            self.reported[token] = generation
        self.remember()

    def remember(self):
        document = self.peek()
        if document:
            self.history.setdefault(document['generation'], document)


class ConfigurationMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.highest_generations = {}
        self.runner.run(self._begin())

    async def _begin(self):
        self.simulation = _Simulation()
        started = asyncio.Event()
        self.main = asyncio.ensure_future(self.simulation.run(started))
        await started.wait()

    @initialize()
    def accept_the_first(self):
        self._apply([0], 0)

    @rule(
        lags=st.lists(st.integers(0, 1), min_size=1, max_size=3),
        lose=st.integers(0, 2),
        drop=st.integers(0, 2),
    )
    def apply_at_once(self, lags, lose, drop):
        """Apply concurrently while the next responses or writes are lost."""
        self.simulation.store.injected_faults.lose_responses = lose
        self.simulation.store.injected_faults.drop_writes = drop
        seen = self.simulation.generation()
        self._apply([max(0, seen - behind) for behind in lags], 0)
        self.simulation.store.injected_faults.lose_responses = 0
        self.simulation.store.injected_faults.drop_writes = 0

    def _apply(self, seen_generations, settle_s):
        async def race():
            async with anyio.create_task_group() as group:
                for seen in seen_generations:
                    self.simulation.tokens += 1
                    token = f't{self.simulation.tokens}'
                    group.start_soon(self.simulation.apply, seen, token)
            await anyio.sleep(settle_s)

        self.runner.run(race())

    @rule(out=st.booleans())
    def switch_store(self, out):
        self.simulation.store.injected_faults.outage = out

    @rule(address=_ADDRESSES, cut_off=st.booleans())
    def switch_access(self, address, cut_off):
        self.simulation.fleet.controllers[address].store.cut_off = cut_off

    @rule(address=_ADDRESSES)
    def restart(self, address):
        async def replace():
            self.simulation.fleet.kill(address)
            self.simulation.fleet.start(address)

        self.runner.run(replace())

    @rule(address=_ADDRESSES)
    def isolate(self, address):
        """Disconnect a peer, so that its generation becomes outdated."""
        self.simulation.fleet.network.join_group(address, 'far')
        self.simulation.fleet.network.block('far', '')
        self.simulation.fleet.controllers[address].store.cut_off = True

    @rule(address=_ADDRESSES, back=st.integers(0, 4))
    def receive_old_generation(self, address, back):
        """Deliver an announcement from a peer that missed later changes."""
        generation = max(1, self.simulation.generation() - back)
        history = BundleHistory()
        history.append(self.simulation.history[generation])
        message = pb.Announcement(
            id=self.simulation.tokens * 10 + back,
            origin='old',
            configuration=history.get_bundle(0),
        )
        node = self.simulation.fleet.controllers[address].node
        self.runner.run(node.handle_announcement(message))

    @rule(seconds=st.sampled_from([0.2, 2, 20, 70]))
    def wait(self, seconds):
        self.runner.run(asyncio.sleep(seconds))

    @rule()
    def reconnect_and_converge(self):
        """Check that all nodes have the latest generation within the bound."""
        self._reconnect()
        self.runner.run(asyncio.sleep(_BOUND_S))
        self._require_converged()

    def _reconnect(self):
        self.simulation.store.injected_faults.outage = False
        for address, controller in self.simulation.fleet.controllers.items():
            controller.store.cut_off = False
            self.simulation.fleet.network.join_group(address, '')
        self.simulation.fleet.network.heal()

    def _require_converged(self):
        generations = {
            address: controller.configuration.generation
            for address, controller in self.simulation.fleet.controllers.items()
        }
        assert set(generations.values()) == {self.simulation.generation()}

    @invariant()
    def never_reverts(self):
        for controller in self.simulation.fleet.controllers.values():
            keeper = controller.configuration
            assert keeper.generation >= self.highest_generations.get(keeper, 0)
            self.highest_generations[keeper] = keeper.generation
            if keeper.current:
                accepted = self.simulation.history[keeper.generation]
                assert keeper.current == accepted

    @invariant()
    def reported_outcomes_are_correct(self):
        accepted = {
            document['token']: generation
            for generation, document in self.simulation.history.items()
        }
        for token, reported in self.simulation.reported.items():
            assert reported != 'own conflict'
            if isinstance(reported, int):
                assert accepted[token] == reported
            elif reported in {'conflict', 'not written'}:
                assert token not in accepted

    def teardown(self):
        self._reconnect()
        self.runner.run(asyncio.sleep(_BOUND_S))
        try:
            self._require_converged()
        finally:
            self.main.cancel()
            self.runner.close()


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None
)
