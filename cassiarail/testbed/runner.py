"""Run a deployment under load and faults, and audit it."""

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
from cassiarail.testbed.disturbances import Disturbances
from cassiarail.testbed.layout import derive_layout, derive_scenario
from cassiarail.testbed.monitor import Monitor
from cassiarail.testbed.wiring import MemoryWiring, TcpWiring, Wiring

# P8 allows an accepted configuration this time to be in force everywhere.
CONFIG_BOUND_S = 3.0
_START_PATIENCE_S = 120.0
_RUN_START = dt.datetime.fromisoformat('2026-01-01T00:00:00+00:00')
# Faults end some time before the load, so that recovery is part of the run.
_DISTURBED_SHARE = 0.7


class RunSettings(NamedTuple):
    """Describe a run; durations are seconds.

    ``faults`` counts the faults of the platform; a third as many strike the
    system's own processes. ``breakages`` are deliberate ones, with which a
    test proves that the audit sees them.
    """

    folder: pathlib.Path
    seed: int = 1
    duration_s: float = 30.0
    requests_per_second: float = 40.0
    hosts_per_data_centre: int = 2
    faults: int = 14
    tokens_max: int = 40
    timeout_s: float = 10.0
    breakages: tuple[FaultName, ...] = ()


class RunResult(NamedTuple):
    """Hold the report of a run and the names of broken promises."""

    report: ReportDocument
    violations: list[str]


def run_in_virtual_time(settings: RunSettings) -> RunResult:
    """Run in virtual time; the same seed gives the same run."""
    return run_virtual(_run_virtual, settings)


def run_on_loopback(settings: RunSettings) -> RunResult:
    """Run on TCP ports of the loopback network, in real time."""
    return run_real(_run_loopback, settings)


async def _run_virtual(settings: RunSettings) -> RunResult:
    clock = LoopClock(_RUN_START)
    async with anyio.create_task_group() as group:
        wiring = MemoryWiring(group, clock)
        outcome = await _run(settings, wiring, clock, partitions=True)
        group.cancel_scope.cancel()
    return outcome


async def _run_loopback(settings: RunSettings) -> RunResult:
    clock = LoopClock()
    async with anyio.create_task_group() as group:
        wiring = TcpWiring(group, clock)
        outcome = await _run(settings, wiring, clock, partitions=False)
        # Servers that are cancelled instead of closed raise from hypercorn.
        wiring.close()
    return outcome


async def _run(
    settings: RunSettings,
    wiring: Wiring,
    clock: Clock,
    *,
    partitions: bool,
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
        await deployment.start(group, _START_PATIENCE_S)
        for breakage in settings.breakages:
            deployment.standins.faults.switch_on(breakage)
        await run.execute(partitions=partitions)
        await deployment.shut_down()
        group.cancel_scope.cancel()
    return run.build_result()


class _Run:
    """Put load and faults on a deployment and collect the figures."""

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
        self._disturbances = Disturbances(
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
        # The client follows the balancer's list.
        self._client.gateways = deployment.balanced
        self._admin = HttpEngineAdmin(wiring.create_transport('breakage'))
        self._store_calls = 0
        self._control_bytes = 0

    async def execute(self, *, partitions: bool) -> None:
        """Run the whole load."""
        settings = self._settings
        plan = LoadGenerator(self._scenario, random.Random(settings.seed))
        calls = self._count_calls()
        control_bytes = self._count_bytes()
        disturbed_s = settings.duration_s * _DISTURBED_SHARE
        async with anyio.create_task_group() as group:
            group.start_soon(self._monitor.run)
            group.start_soon(self._disturb, disturbed_s, partitions)
            await self._client.run(plan.plan())
            group.cancel_scope.cancel()
        await self._admin.aclose()
        self._store_calls = self._count_calls() - calls
        self._control_bytes = self._count_bytes() - control_bytes

    def build_result(self) -> RunResult:
        """Return the report and the broken promises."""
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
        if self._monitor.config_seconds_max > CONFIG_BOUND_S:
            violations.append('config_seconds_max')
        report = build_report(
            counters,
            self._client.outcomes,
            self._client.gaps,
            RunLabels(
                self._settings.seed,
                self._scenario['policy'],
                self._scenario['accelerators'],
                tuple(sorted(set(self._disturbances.applied))),
            ),
            self._read_figures(),
        )
        return RunResult(report, violations)

    async def _disturb(self, duration_s: float, partitions: bool) -> None:
        count = self._settings.faults
        disturbances = self._disturbances
        async with anyio.create_task_group() as group:
            group.start_soon(
                lambda: disturbances.run_platform(
                    duration_s,
                    count,
                    partitions=partitions,
                ),
            )
            group.start_soon(disturbances.run_nodes, duration_s, count // 3)
            if FaultName.LEDGER_SKIPPED in self._settings.breakages:
                group.start_soon(disturbances.skip_ledger, self._admin)

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
