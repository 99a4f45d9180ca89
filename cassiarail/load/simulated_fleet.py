"""Simulate the routing policies and limits on modelled engines.

Several gateways share the engines. Each knows only its own requests and the
delayed load reports of the engines.
"""

import functools
import random
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import anyio

from cassiarail.core.clock import LoopClock
from cassiarail.core.deadline import Deadline
from cassiarail.gateway.admission_queue import AdmissionQueue, Permit
from cassiarail.limits.concurrency import ConcurrencyRules
from cassiarail.limits.exceptions import OverloadedError
from cassiarail.load.queueing import EngineModel, EngineRules, Job, Work
from cassiarail.routing.backends.base import RequestNeed, RoutingPolicy
from cassiarail.routing.snapshot import (
    LoadReport,
    RoutingSnapshot,
    TargetKind,
    TargetState,
)
from cassiarail.routing.table import RoutingTable

SERVICE = 'engines'
_PRIORITY = 5
# Minimum and maximum tokens of a shared prefix, of the remainder of a prompt
# and of a response, drawn uniformly.
_PREFIX_TOKENS = (400, 1200)
_SUFFIX_TOKENS = (50, 250)
_OUTPUT_TOKENS = (20, 100)
MODEL = 'model'
REPORT_PERIOD_S = 1.0
REPORT_LAG_S = 0.5
FIRST_TOKEN_OBJECTIVE_S = 0.48
INTER_TOKEN_OBJECTIVE_S = 0.044


class Phase(NamedTuple):
    """Hold an arrival rate in requests a second and its duration."""

    rate: float
    seconds: float


class Scenario(NamedTuple):
    """Describe the fleet and the load of one run.

    Prefixes are drawn with a probability proportional to one over their rank.
    Callers cancel a request after ``timeout_s``. ``slow_engine`` is the
    slowdown of the first engine.
    """

    seed: int
    phases: Sequence[Phase]
    engines: int = 6
    gateways: int = 6
    prefixes: int = 60
    callers: int = 10
    timeout_s: float = 30.0
    slow_engine: float = 1.4
    with_limits: bool = False


class Outcome(NamedTuple):
    """Hold the outcome of a request; durations count from its arrival."""

    arrived_at: float
    first_token_s: float | None = None
    finished_s: float | None = None
    tokens: int = 0
    was_cached: bool = False
    was_refused: bool = False

    @property
    def meets_objective(self) -> bool:
        """Return whether a complete response met the latency objective."""
        if self.first_token_s is None or self.finished_s is None:
            return False
        decoding_s = self.finished_s - self.first_token_s
        return (
            self.first_token_s <= FIRST_TOKEN_OBJECTIVE_S
            and decoding_s <= INTER_TOKEN_OBJECTIVE_S * self.tokens
        )


class SimulatedGateway:
    """Choose an engine for each request by a policy and optional limits."""

    def __init__(
        self,
        clock: LoopClock,
        policy: RoutingPolicy,
        engines: dict[str, EngineModel],
        admission: AdmissionQueue | None,
    ) -> None:
        self.table = RoutingTable(clock, report_lag_s=REPORT_LAG_S)
        self._clock = clock
        self._policy = policy
        self._engines = engines
        self._admission = admission

    async def send(
        self,
        caller: str,
        work: Work,
        timeout_s: float,
    ) -> Outcome:
        """Run one request and return its outcome."""
        outcome = Outcome(self._clock.monotonic(), tokens=work.output_tokens)
        need = RequestNeed(SERVICE, MODEL, prefix=work.prefix)
        candidates = self.table.find_candidates(need)
        states = {state.name: state for state in candidates}

        choose = functools.partial(self._choose, need, states)
        names = list(states)
        if self._admission is None:
            return await self._run(outcome, work, timeout_s, choose(names))
        deadline = Deadline.after(self._clock, timeout_s)
        try:
            async with self._admission.admit(
                caller,
                _PRIORITY,
                deadline,
                names,
                choose,
                self._policy.list_preferred(need, candidates),
            ) as permit:
                return await self._run(
                    outcome,
                    work,
                    deadline.remaining(self._clock),
                    permit.target,
                    permit,
                )
        except OverloadedError:
            return outcome._replace(was_refused=True)

    def _choose(
        self,
        need: RequestNeed,
        states: Mapping[str, TargetState],
        names: Sequence[str],
    ) -> str:
        free_targets = [states[name] for name in names]
        return self._policy.choose(need, free_targets, self.table).name

    async def _run(
        self,
        outcome: Outcome,
        work: Work,
        timeout_s: float,
        target: str,
        permit: Permit | None = None,
    ) -> Outcome:
        engine = self._engines[target]
        job = Job(work)
        with self.table.track(target), anyio.move_on_after(timeout_s):
            engine.submit(job)
            await job.first_token.wait()
            if permit is not None:
                permit.record_latency()
            outcome = outcome._replace(
                first_token_s=self._clock.monotonic() - outcome.arrived_at,
                was_cached=job.was_cached,
            )
            await job.finished.wait()
            outcome = outcome._replace(
                finished_s=self._clock.monotonic() - outcome.arrived_at,
            )
        engine.cancel(job)
        if permit is not None and outcome.first_token_s is None:
            permit.record_overload()
        return outcome


class SimulatedFleet:
    """Run one scenario and collect the outcomes."""

    def __init__(
        self,
        scenario: Scenario,
        policies: Sequence[RoutingPolicy],
    ) -> None:
        """Create a fleet with one gateway for each policy."""
        self._scenario = scenario
        self._clock = LoopClock()
        self._generator = random.Random(scenario.seed)
        self._engines = {
            f'engine-{number}': self._make_engine(number)
            for number in range(scenario.engines)
        }
        self._gateways = [
            SimulatedGateway(
                self._clock, policy, self._engines, self._make_admission_queue()
            )
            for policy in policies
        ]
        ranks = range(1, scenario.prefixes + 1)
        self._weights = [1 / rank for rank in ranks]
        self._prefix_tokens = [
            self._generator.randint(*_PREFIX_TOKENS) for _ in ranks
        ]
        self.outcomes: list[Outcome] = []

    async def run(self) -> list[Outcome]:
        """Send all requests and return their outcomes by arrival time."""
        self._publish(self._measure_load(0), 0)
        async with anyio.create_task_group() as background:
            for engine in self._engines.values():
                background.start_soon(engine.run)
            background.start_soon(self._publish_reports)
            async with anyio.create_task_group() as requests:
                for phase in self._scenario.phases:
                    await self._generate(phase, requests)
            background.cancel_scope.cancel()
        return sorted(self.outcomes)

    async def _generate(
        self,
        phase: Phase,
        requests: anyio.abc.TaskGroup,
    ) -> None:
        ends_at = self._clock.monotonic() + phase.seconds
        while True:
            gap_s = self._generator.expovariate(phase.rate)
            if self._clock.monotonic() + gap_s >= ends_at:
                break
            await self._clock.sleep(gap_s)
            requests.start_soon(self._send, self._draw_work())
        await self._clock.sleep(max(0, ends_at - self._clock.monotonic()))

    async def _send(self, work: Work) -> None:
        caller = f'caller-{self._generator.randrange(self._scenario.callers)}'
        gateway = self._generator.choice(self._gateways)
        outcome = await gateway.send(caller, work, self._scenario.timeout_s)
        self.outcomes.append(outcome)

    def _draw_work(self) -> Work:
        rank = self._generator.choices(
            range(self._scenario.prefixes), self._weights
        ).pop()
        return Work(
            prefix=f'prefix-{rank}',
            prefix_tokens=self._prefix_tokens[rank],
            suffix_tokens=self._generator.randint(*_SUFFIX_TOKENS),
            output_tokens=self._generator.randint(*_OUTPUT_TOKENS),
        )

    def _make_engine(self, number: int) -> EngineModel:
        # One engine is slower than the others, as happens in practice.
        slowdown = 1 if number else self._scenario.slow_engine
        return EngineModel(
            f'engine-{number}', self._clock, EngineRules(slowdown=slowdown)
        )

    def _make_admission_queue(self) -> AdmissionQueue | None:
        if not self._scenario.with_limits:
            return None
        rules = ConcurrencyRules.for_objective(FIRST_TOKEN_OBJECTIVE_S)
        return AdmissionQueue(self._clock, concurrency=rules)

    async def _publish_reports(self) -> None:
        sequence = 0
        while True:
            await self._clock.sleep(REPORT_PERIOD_S - REPORT_LAG_S)
            sequence += 1
            measured = self._measure_load(sequence)
            await self._clock.sleep(REPORT_LAG_S)
            self._publish(measured, sequence)

    def _measure_load(self, sequence: int) -> dict[str, tuple[int, int]]:
        return {
            name: (engine.running, engine.queued)
            for name, engine in self._engines.items()
        }

    def _publish(
        self,
        measured: dict[str, tuple[int, int]],
        sequence: int,
    ) -> None:
        targets = tuple(
            self._describe(name, running, queued, sequence)
            for name, (running, queued) in measured.items()
        )
        for gateway in self._gateways:
            gateway.table.update(RoutingSnapshot(1, targets))

    def _describe(
        self,
        name: str,
        running: int,
        queued: int,
        sequence: int,
    ) -> TargetState:
        return TargetState(
            name=name,
            service=SERVICE,
            kind=TargetKind.ENGINE,
            data_centre='dc',
            address=name,
            instance='1',
            models=frozenset((MODEL,)),
            load=LoadReport(
                sequence=sequence,
                running=running,
                queued=queued,
                batch_max=EngineRules().batch_max,
                kv_used_bytes=0,
                kv_total_bytes=1,
                received_at=self._clock.monotonic(),
            ),
        )
