"""Guard that no interleaving of faults runs a non-idempotent call twice."""

import asyncio
import collections
import random

import anyio
import httpx
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import VirtualTimeLoop
from cassiarail.gateway.application import GatewayApplication
from cassiarail.routing.snapshot import TargetKind, TargetState
from cassiarail.standins.network import MemoryTransport, Network
from tests.gateway.fakes import FakeRegister, FakeStore
from tests.gateway.test_refusals import FILINGS, make_key
from tests.gateway.world import KEYS, build_environment

GATEWAYS = ('g0.test:80', 'g1.test:80', 'g2.test:80')
SENDS = [make_key(shift) for shift in range(3)]
STORE_FAULTS = ('', 'lost', 'lost-before', 'late', 'out', 'slow')
TARGET_FAULTS = ('', 'refuse', 'break-before', 'break-after', 'hang')


class RecordingRegister(FakeRegister):
    """Record the request id and key of each run."""

    def __init__(self, name):
        super().__init__(name)
        self.runs = []

    def note_run(self, headers):
        self.runs.append(
            (headers[b'idempotency-key'], headers[b'x-request-id']),
        )


class FilingMachine(RuleBasedStateMachine):
    """Send the same filings through several gateways under faults."""

    @initialize(seed=st.integers(0, 999))
    def start(self, seed):
        self.loop = VirtualTimeLoop()
        self.generator = random.Random(seed)
        self.store = FakeStore()
        self.registers = [RecordingRegister(f'r{index}') for index in range(2)]
        self.scopes = {}
        self.told = []
        self.crashed = set()
        self.pending = 0
        self.targets = [
            TargetState(
                register.name,
                'register',
                TargetKind.PLAIN,
                'bex',
                register.address,
            )
            for register in self.registers
        ]
        started = asyncio.Event()
        self.main = self.loop.create_task(self._main(started))
        self.loop.run_until_complete(started.wait())

    async def _main(self, started):
        async with anyio.create_task_group() as self.group:
            self.network = Network(self.group)
            self.clock = LoopClock(MANUAL_START)
            for register in self.registers:
                self.network.listen(register.address, register)
            for address in GATEWAYS:
                self._open_gateway(address)
            started.set()
            await anyio.sleep_forever()

    def _open_gateway(self, address):
        environment = build_environment(
            lambda: self.targets,
            self.store,
            self.clock,
            lambda _: MemoryTransport(self.network, address),
            seed=self.generator.random(),
            name=address,
        )
        gateway = GatewayApplication(environment)
        self.scopes[address] = anyio.CancelScope()
        self.network.listen(address, gateway.asgi)
        self.group.start_soon(self._run_jobs, address, gateway)

    async def _run_jobs(self, address, gateway):
        with self.scopes[address]:
            await gateway.jobs.run()

    async def _send(self, address, key):
        self.pending += 1
        try:
            async with httpx.AsyncClient(
                transport=MemoryTransport(self.network, 'caller'),
                timeout=60,
            ) as client:
                answer = await client.post(
                    f'http://{address}{FILINGS}',
                    content=b'{"amount":7}',
                    headers={
                        'authorization': f'Bearer {KEYS["pan-master"]}',
                        'idempotency-key': key,
                        'x-timeout-ms': '8000',
                    },
                )
            self.told.append((key, answer))
        except httpx.TransportError:
            self.told.append((key, None))
        finally:
            self.pending -= 1

    def _wait(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(
        address=st.sampled_from(GATEWAYS),
        key=st.sampled_from(SENDS),
        wait_s=st.sampled_from((0, 0.001, 1)),
    )
    def send(self, address, key, wait_s):
        self.loop.call_soon(
            self.group.start_soon,
            self._send,
            address,
            key,
        )
        self._wait(wait_s)

    @rule(
        store=st.lists(st.sampled_from(STORE_FAULTS), max_size=5),
        services=st.lists(st.sampled_from(TARGET_FAULTS), max_size=2),
    )
    def plan_faults(self, store, services):
        self.store.faults = store
        for register, fault in zip(self.registers, services, strict=False):
            register.faults = [fault]

    @rule(is_out=st.booleans())
    def switch_store(self, is_out):
        self.store.is_out = is_out

    @rule()
    def deliver_late(self):
        self.store.deliver_late()

    @rule(seconds=st.sampled_from((0.01, 1, 5, 20)))
    def wait(self, seconds):
        self._wait(seconds)

    @rule(address=st.sampled_from(GATEWAYS))
    def crash(self, address):
        self.loop.run_until_complete(self._crash(address))

    async def _crash(self, address):
        self.crashed.add(address)
        self.network.kill(address)
        self.scopes[address].cancel()
        await asyncio.sleep(0)
        self._open_gateway(address)

    @invariant()
    def check(self):
        runs = [run for register in self.registers for run in register.runs]
        counts = collections.Counter(key for key, _ in runs)
        assert all(count == 1 for count in counts.values()), counts
        ran_ids = {request_id.decode() for _, request_id in runs}
        for _, answer in self.told:
            if answer is None:
                continue
            verdict = answer.headers['x-verdict']
            if verdict == 'not-run':
                assert answer.headers['x-request-id'] not in ran_ids
            if answer.status_code == 201:
                assert verdict == 'ran'

    def teardown(self):
        if not hasattr(self, 'loop'):
            return
        try:
            self._recover()
        finally:
            self.main.cancel()
            self.loop.run_until_complete(
                asyncio.gather(self.main, return_exceptions=True),
            )
            self.loop.close()

    def _recover(self):
        """Every request ends, and no key is blocked for ever by a fault."""
        self.store.faults = []
        self.store.is_out = False
        for register in self.registers:
            register.faults = []
        self.store.deliver_late()
        self._wait(120)
        assert self.pending == 0
        self.check()
        ran = {key for register in self.registers for key, _ in register.runs}
        unsure = {
            key
            for key, answer in self.told
            if answer is None or answer.headers['x-verdict'] == 'may-have-run'
        }
        for key in SENDS:
            self.loop.run_until_complete(self._send(GATEWAYS[0], key))
            answer = self.told[-1][1]
            if answer.status_code == 201:
                continue
            # Only a call that may have run stays unresolved, or one whose
            # gateway crashed before it could void the claim.
            assert answer.status_code == 409
            if key.encode() not in ran and key not in unsure:
                name = ('claim', f'pan-master.{key}')
                assert (
                    self.store.objects[name].document['gateway'] in self.crashed
                )
        self.check()


FilingMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestFilings = FilingMachine.TestCase
