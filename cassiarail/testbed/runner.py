"""Run a deployment under load and faults and audit it."""

import datetime as dt
import pathlib
import random
from typing import NamedTuple

import anyio

from cassiarail.control.orders import HttpEngineAdmin
from cassiarail.core.clock import Clock, LoopClock
from cassiarail.core.loops import run_real, run_virtual
from cassiarail.declarations.loader import load_folder
from cassiarail.load.audit import Audit, list_violations
from cassiarail.load.client import LoadClient
from cassiarail.load.generator import LoadGenerator
from cassiarail.load.report import (
    ReportDocument,
    RunLabels,
    SystemFigures,
    build_report,
)
from cassiarail.routing.backends.affinity import AffinityPolicy
from cassiarail.standins.faults import FaultName
from cassiarail.testbed.deployment import Deployment
from cassiarail.testbed.faults import ScheduledFaults
from cassiarail.testbed.layout import derive_layout, derive_scenario
from cassiarail.testbed.monitor import Monitor
from cassiarail.testbed.wiring import MemoryWiring, TcpWiring, Wiring

# P8 allows an accepted configuration this time to become current everywhere.
CONFIG_SECONDS_LIMIT = 3.0
_START_TIMEOUT_S = 120.0
_RUN_START = dt.datetime.fromisoformat('2026-01-01T00:00:00+00:00')
# Faults end before the load, so that recovery is part of the run.
_FAULT_SHARE = 0.7


class RunSettings(NamedTuple):
    """Describe a run; durations are seconds.

    ``faults`` counts the faults of the platform; a third as many are injected
    into controllers and gateways. ``defects`` are deliberately injected, so
    that a test proves that the audit detects them.
    """

    folder: pathlib.Path
    seed: int = 1
    duration_s: float = 30.0
    requests_per_second: float = 40.0
    hosts_per_data_centre: int = 2
    faults: int = 14
    tokens_max: int = 40
    timeout_s: float = 10.0
    defects: tuple[FaultName, ...] = ()


class RunResult(NamedTuple):
    """Hold the report of a run and the names of violated guarantees."""

    report: ReportDocument
    violations: list[str]


def run_in_virtual_time(settings: RunSettings) -> RunResult:
    """Run in virtual time; the same seed reproduces the run."""
    return run_virtual(_run_virtual, settings)


def run_on_loopback(settings: RunSettings) -> RunResult:
    """Run on TCP ports of the loopback network, in real time."""
    return run_real(_run_loopback, settings)


async def _run_virtual(settings: RunSettings) -> RunResult:
    clock = LoopClock(_RUN_START)
    async with anyio.create_task_group() as group:
        wiring = MemoryWiring(group, clock)
        run_result = await _run(settings, wiring, clock, with_partitions=True)
        group.cancel_scope.cancel()
    return run_result


async def _run_loopback(settings: RunSettings) -> RunResult:
    clock = LoopClock()
    async with anyio.create_task_group() as group:
        wiring = TcpWiring(group, clock)
        run_result = await _run(settings, wiring, clock, with_partitions=False)
        # hypercorn raises if its servers are cancelled instead of closed.
        wiring.close()
    return run_result


async def _run(
    settings: RunSettings,
    wiring: Wiring,
    clock: Clock,
    *,
    with_partitions: bool,
) -> RunResult:
    declarations, _ = load_folder(settings.folder)
    layout = derive_layout(
        declarations,
        settings.hosts_per_data_centre,
        settings.seed,
    )
    deployment = Deployment(
        declarations,
        layout,
        wiring,
        clock,
        AffinityPolicy,
    )
    run = _Run(settings, deployment, wiring, clock)
    async with anyio.create_task_group() as group:
        await deployment.start(group, _START_TIMEOUT_S)
        for defect in settings.defects:
            deployment.standins.faults.switch_on(defect)
        await run.execute(with_partitions=with_partitions)
        await deployment.shut_down()
        group.cancel_scope.cancel()
    return run.build_result()


class _Run:
    """Run load and faults on a deployment and collect the figures."""

    def __init__(
        self,
        settings: RunSettings,
        deployment: Deployment,
        wiring: Wiring,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._deployment = deployment
        self._clock = clock
        self._scenario = derive_scenario(
            deployment.declarations,
            deployment.layout,
            duration_s=settings.duration_s,
            requests_per_second=settings.requests_per_second,
            policy=AffinityPolicy.name,
            tokens_max=settings.tokens_max,
            timeout_s=settings.timeout_s,
        )
        self._monitor = Monitor(deployment, clock)
        self._faults = ScheduledFaults(
            deployment,
            clock,
            random.Random(f'disturbances {settings.seed}'),
        )
        self._client = LoadClient(
            self._scenario,
            wiring.create_transport('callers'),
            clock,
            random.Random(f'client {settings.seed}'),
        )
        # The client uses the current addresses of the load balancer.
        self._client.gateways = deployment.balancer_addresses
        self._admin = HttpEngineAdmin(wiring.create_transport('breakage'))
        self._store_calls = 0
        self._control_bytes = 0

    async def execute(self, *, with_partitions: bool) -> None:
        """Run the load with faults until every request has an outcome."""
        settings = self._settings
        generator = LoadGenerator(self._scenario, random.Random(settings.seed))
        initial_calls = self._count_calls()
        initial_bytes = self._count_bytes()
        faults_s = settings.duration_s * _FAULT_SHARE
        async with anyio.create_task_group() as group:
            group.start_soon(self._monitor.run)
            group.start_soon(self._inject_faults, faults_s, with_partitions)
            await self._client.run(generator.plan())
            group.cancel_scope.cancel()
        await self._admin.aclose()
        self._store_calls = self._count_calls() - initial_calls
        self._control_bytes = self._count_bytes() - initial_bytes

    def build_result(self) -> RunResult:
        """Return the report and the violated guarantees."""
        objective = self._scenario['objective']
        counters = Audit(
            self._client.outcomes,
            self._deployment.standins.records,
        ).count(objective['first_token_s'], objective['inter_token_s'])
        counters = counters._replace(
            overpromised_bytes_max=max(
                counters.overpromised_bytes_max,
                self._monitor.overpromised_bytes_max,
            ),
        )
        violations = list_violations(counters)
        if self._monitor.config_reverts:
            violations.append('config_reverts')
        if self._monitor.config_seconds_max > CONFIG_SECONDS_LIMIT:
            violations.append('config_seconds_max')
        report = build_report(
            counters,
            self._client.outcomes,
            self._client.gaps,
            RunLabels(
                self._settings.seed,
                self._scenario['policy'],
                self._scenario['accelerators'],
                tuple(sorted(set(self._faults.applied))),
            ),
            self._read_figures(),
        )
        return RunResult(report, violations)

    async def _inject_faults(
        self, duration_s: float, with_partitions: bool
    ) -> None:
        count = self._settings.faults
        scheduled_faults = self._faults
        async with anyio.create_task_group() as group:
            group.start_soon(
                lambda: scheduled_faults.inject_platform_faults(
                    duration_s,
                    count,
                    with_partitions=with_partitions,
                ),
            )
            group.start_soon(
                scheduled_faults.inject_node_faults, duration_s, count // 3
            )
            if FaultName.LEDGER_SKIPPED in self._settings.defects:
                group.start_soon(
                    scheduled_faults.load_without_reserving, self._admin
                )

    def _read_figures(self) -> SystemFigures:
        seconds = self._client.duration_s
        nodes = len(self._deployment.controllers)
        moves = self._deployment.count_moves()
        return SystemFigures(
            config_reverts=self._monitor.config_reverts,
            config_seconds_max=self._monitor.config_seconds_max,
            moves=moves,
            store_calls_per_second=self._store_calls / seconds,
            control_bytes_per_second_per_node=(
                self._control_bytes / seconds / nodes
            ),
        )

    def _count_calls(self) -> int:
        return self._deployment.standins.store.count_calls()

    def _count_bytes(self) -> int:
        controllers = self._deployment.controllers
        return sum(each.count_bytes() for each in controllers)
