"""Benchmark membership in virtual time.

``python -m cassiarail.membership.measure --controllers 54 --targets 157``
prints bytes, CPU time, store calls and latencies, and exits with 1 if a limit
of section 1.5 of the design is exceeded.
"""

import time
from collections.abc import Callable
from typing import Annotated, NamedTuple

import anyio
import msgspec
import typer
from absl import logging
from typing_extensions import TypedDict

from cassiarail.control.configuration import apply_configuration
from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.declarations.schema import DeclarationsDocument
from cassiarail.membership.loopback import measure_grpc_cpu_ms
from cassiarail.membership.simulation import (
    SimulatedController,
    SimulatedFleet,
    name_controllers,
)
from cassiarail.store.backends.memory import MemoryObjectStore

BYTES_LIMIT = 3000
CPU_SHARE_LIMIT = 0.048
PROPAGATION_LIMIT_S = 3.0
_CHECK_INTERVAL_S = 0.01
_WAIT_TIMEOUT_S = 60.0
# The design assumes 910 changes a day.
_CHANGE_INTERVAL_S = 95.0
_ENGINES = 1100
_MODELS = 240
_ADAPTERS = 3
_DATA_CENTRES = 7
_MODEL_BYTES = 10_000_000_000
_ADAPTER_BYTES = 100_000_000
_ACCELERATOR_BYTES = 40_000_000_000
_MILLISECONDS_PER_SECOND = 1000
_GRPC_CALLS = 500
_LEAVING_TARGETS = 10
_P95 = 0.95
_P50 = 0.5


class Measurement(TypedDict):
    """Hold the results of one run; rates are per node and second."""

    controllers: int
    targets: int
    seconds: float
    sent_bytes: float
    received_bytes: float
    total_bytes: float
    worst_total_bytes: float
    bytes_by_kind: dict[str, float]
    largest_bytes: int
    cpu_share: float
    cpu_ms_per_exchange: float
    grpc_cpu_ms_per_exchange: float
    exchanges_per_second: float
    store_calls_per_second: float
    members_known_s: float
    leaving_s: float
    configuration_s: float
    report_age_p50_s: float
    report_age_p95_s: float


class _Counters(NamedTuple):
    """Hold the counters of a fleet at one moment."""

    cpu_s: float
    store_calls: int
    traffic_by_kind: dict[str, int]
    bytes_by_address: dict[str, int]


class MembershipBenchmark:
    """Run one simulated fleet and measure it."""

    def __init__(self, controllers: int, targets: int, seconds: float) -> None:
        self._controllers = controllers
        self._targets = targets
        self._seconds = seconds
        self._clock = LoopClock(MANUAL_START)
        self._store = MemoryObjectStore(self._clock)
        self._generation = 0

    async def run(self, seed: int) -> Measurement:
        """Return the results of one run."""
        async with anyio.create_task_group() as group:
            fleet = SimulatedFleet(
                group,
                self._clock,
                self._store,
                seed,
                self._targets,
            )
            await self._apply_declarations()
            for address in name_controllers(self._controllers):
                fleet.start(address)
            measured = await self._measure(fleet)
            group.cancel_scope.cancel()
        return measured

    async def _measure(self, fleet: SimulatedFleet) -> Measurement:
        members_known_s = await self._wait_all(fleet, self._sees_all_members)
        await self._clock.sleep(self._seconds)
        before = self._read_counters(fleet)
        configuration_s = await self._apply_changes(fleet)
        after = self._read_counters(fleet)
        rates = self._compute_rates(before, after)
        ages = _list_ages(fleet)
        exchange_rate = rates['calls Digest'] / 2
        received_bytes = _sum_counter(rates, 'received')
        sent_bytes = _sum_counter(rates, 'sent')
        cpu_share = (after.cpu_s - before.cpu_s) / self._count_node_seconds()
        return Measurement(
            controllers=self._controllers,
            targets=self._targets,
            seconds=self._seconds,
            sent_bytes=sent_bytes,
            received_bytes=received_bytes,
            total_bytes=sent_bytes + received_bytes,
            worst_total_bytes=max(
                (
                    after.bytes_by_address[address]
                    - before.bytes_by_address[address]
                )
                / self._seconds
                for address in before.bytes_by_address
            ),
            bytes_by_kind=rates,
            largest_bytes=max(
                controller.transport.traffic.largest_message_bytes
                for controller in fleet.controllers.values()
            ),
            cpu_share=cpu_share,
            cpu_ms_per_exchange=cpu_share
            / exchange_rate
            * _MILLISECONDS_PER_SECOND,
            grpc_cpu_ms_per_exchange=0,
            exchanges_per_second=exchange_rate,
            store_calls_per_second=(after.store_calls - before.store_calls)
            / self._seconds,
            members_known_s=members_known_s,
            leaving_s=await self._measure_leaving(fleet),
            configuration_s=configuration_s,
            report_age_p50_s=_select_quantile(ages, _P50),
            report_age_p95_s=_select_quantile(ages, _P95),
        )

    def _count_node_seconds(self) -> float:
        return self._seconds * self._controllers

    def _read_counters(self, fleet: SimulatedFleet) -> _Counters:
        return _Counters(
            cpu_s=time.process_time(),
            store_calls=self._store.calls.total(),
            traffic_by_kind=_sum_traffic(fleet),
            bytes_by_address={
                address: controller.transport.traffic.total_bytes()
                for address, controller in fleet.controllers.items()
            },
        )

    def _compute_rates(
        self,
        before: _Counters,
        after: _Counters,
    ) -> dict[str, float]:
        """Return the rate of each counter per node and second."""
        return {
            kind: (count - before.traffic_by_kind.get(kind, 0))
            / self._count_node_seconds()
            for kind, count in sorted(after.traffic_by_kind.items())
        }

    async def _apply_changes(self, fleet: SimulatedFleet) -> float:
        """Apply changes at the design rate; return the maximum delay."""
        max_delay_s = float(0)
        ends_at = self._clock.monotonic() + self._seconds
        while ends_at - self._clock.monotonic() > _CHANGE_INTERVAL_S:
            await self._clock.sleep(_CHANGE_INTERVAL_S / 2)
            await self._apply_declarations()
            delay_s = await self._wait_all(fleet, self._is_current)
            max_delay_s = max(max_delay_s, delay_s)
            await self._clock.sleep(_CHANGE_INTERVAL_S / 2)
        await self._clock.sleep(ends_at - self._clock.monotonic())
        return max_delay_s

    async def _measure_leaving(self, fleet: SimulatedFleet) -> float:
        """Return the maximum time until all know that a target leaves."""
        max_delay_s = float(0)
        for name in list(fleet.targets)[:_LEAVING_TARGETS]:
            fleet.targets[name].leaving = True
            delay_s = await self._wait_all(fleet, _KnowsLeaving(name))
            max_delay_s = max(max_delay_s, delay_s)
        return max_delay_s

    async def _wait_all(
        self,
        fleet: SimulatedFleet,
        predicate: Callable[[SimulatedController], bool],
    ) -> float:
        """Return the seconds until the predicate holds at all controllers.

        Returns infinity after the timeout.
        """
        started_at = self._clock.monotonic()
        while not all(map(predicate, fleet.controllers.values())):
            if self._clock.monotonic() - started_at > _WAIT_TIMEOUT_S:
                return float('inf')
            await self._clock.sleep(_CHECK_INTERVAL_S)
        return self._clock.monotonic() - started_at

    async def _apply_declarations(self) -> None:
        self._generation = await apply_configuration(
            self._store,
            self._generation,
            _make_declarations(self._generation),
            'measure',
            f'token-{self._generation}',
            self._clock,
        )

    def _sees_all_members(self, controller: SimulatedController) -> bool:
        return len(controller.node.peers.list_live()) == self._controllers

    def _is_current(self, controller: SimulatedController) -> bool:
        return controller.configuration.generation == self._generation


class _KnowsLeaving:
    """Check whether a controller knows that a target leaves."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __call__(self, controller: SimulatedController) -> bool:
        entry = controller.node.targets.find(self._name)
        return entry is not None and entry.profile.leaving


def _make_declarations(change: int) -> DeclarationsDocument:
    """Return declarations of design size in which one model changes."""
    targets = [_make_target(number) for number in range(_ENGINES)]
    service = {'name': 'salzmodell', 'kind': 'engine', 'targets': targets}
    declarations: DeclarationsDocument = msgspec.json.decode(
        msgspec.json.encode(
            {
                'fleet': {},
                'models': [
                    _make_model(number, change) for number in range(_MODELS)
                ],
                'services': [service],
                'callers': [],
                'exceptions': [],
            },
        ),
    )
    return declarations


def _make_model(number: int, change: int) -> dict[str, object]:
    version = change if number == change % _MODELS else 0
    return {
        'name': f'model-{number}',
        'service': 'salzmodell',
        'version': f'v{version}',
        'bytes': _MODEL_BYTES + number,
        'adapters': [
            {'name': f'adapter-{number}-{index}', 'bytes': _ADAPTER_BYTES}
            for index in range(_ADAPTERS)
        ],
    }


def _make_target(number: int) -> dict[str, object]:
    return {
        'name': f'salzmodell-{number}',
        'data_centre': f'dc{number % _DATA_CENTRES}',
        'address': f'10.1.{number % _DATA_CENTRES}.{number}:8000',
        'accelerators': 2,
        'accelerator_memory_bytes': _ACCELERATOR_BYTES,
    }


def _sum_traffic(fleet: SimulatedFleet) -> dict[str, int]:
    sums: dict[str, int] = {}
    for controller in fleet.controllers.values():
        traffic = controller.transport.traffic
        counters = {
            'sent': traffic.sent,
            'received': traffic.received,
            'calls': traffic.calls,
        }
        for counter_name, counter in counters.items():
            for kind, count in counter.items():
                key = f'{counter_name} {kind}'
                sums[key] = sums.get(key, 0) + count
    return sums


def _sum_counter(rates: dict[str, float], counter_name: str) -> float:
    return sum(
        rate for kind, rate in rates.items() if kind.startswith(counter_name)
    )


def _list_ages(fleet: SimulatedFleet) -> list[float]:
    """Return the age of every report at every controller, in seconds."""
    now = fleet.clock.monotonic()
    return sorted(
        now - entry.load.polled_at
        for controller in fleet.controllers.values()
        for entry in controller.node.targets.entries.values()
    )


def _select_quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0
    return ordered[int(quantile * (len(ordered) - 1))]


def exceeds_limits(measured: Measurement) -> bool:
    """Return whether a result exceeds its limit."""
    return (
        measured['total_bytes'] > BYTES_LIMIT
        or measured['cpu_share'] > CPU_SHARE_LIMIT
        or measured['leaving_s'] > PROPAGATION_LIMIT_S
        or measured['configuration_s'] > PROPAGATION_LIMIT_S
    )


def measure(
    controllers: int, targets: int, seconds: float, seed: int
) -> Measurement:
    """Run one fleet in virtual time and return its results.

    The fleet uses the in-memory transport. The CPU time of gRPC is measured
    separately over loopback and added to the CPU share.
    """
    measured = run_virtual(
        MembershipBenchmark(controllers, targets, seconds).run, seed
    )
    grpc_ms = measure_grpc_cpu_ms(_GRPC_CALLS)
    measured['grpc_cpu_ms_per_exchange'] = grpc_ms
    per_second_ms = grpc_ms * measured['exchanges_per_second']
    measured['cpu_share'] += per_second_ms / _MILLISECONDS_PER_SECOND
    return measured


def main(
    controllers: Annotated[int, typer.Option(min=2)] = 54,
    targets: Annotated[int, typer.Option(min=1)] = 157,
    seconds: Annotated[float, typer.Option(min=10)] = 120,
    seed: int = 1,
) -> None:
    """Print the results of one run as JSON; exit 1 if over a limit."""
    logging.set_verbosity(logging.ERROR)
    measured = measure(controllers, targets, seconds, seed)
    text = msgspec.json.format(msgspec.json.encode(measured))
    typer.echo(text.decode())
    if exceeds_limits(measured):
        raise typer.Exit(1)


if __name__ == '__main__':
    typer.run(main)
