"""Build the components that handle callers' requests."""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cassiarail.conf.edge import (
    EdgeSettings,
    compute_connections_max,
    read_quota_rules,
    read_retry_rules,
)
from cassiarail.conf.global_defaults import TARGET_CONNECT_TIMEOUT_S
from cassiarail.core.clock import Clock
from cassiarail.edge.control import ControlParts
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.fleet.load_exchange import LoadExchange
from cassiarail.edge.fleet.quota_exchange import QuotaExchange
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.edge.registry.configuration import CurrentConfiguration
from cassiarail.edge.registry.targets import TargetDirectory
from cassiarail.edge.requests.admission import RequestAdmission
from cassiarail.edge.requests.attempts import AttemptRunner
from cassiarail.edge.requests.caller_listener import CallerListener, DrainRules
from cassiarail.edge.requests.forwarding import Forwarder, ForwardingParts
from cassiarail.edge.requests.load_times import LoadTimeEstimator
from cassiarail.edge.requests.memory import build_request_memory
from cassiarail.edge.requests.quotas import (
    QuotaGate,
    QuotaMetrics,
    QuotaParts,
)
from cassiarail.edge.requests.runs import RunMonitor
from cassiarail.edge.requests.selection import TargetSelector
from cassiarail.edge.requests.target_loads import TargetLoads
from cassiarail.http1.pool import Address, ConnectionPool, PoolRules
from cassiarail.limits.service_budgets import ServiceBudgets
from cassiarail.routing.outliers import OutlierDetector, OutlierRules
from cassiarail.routing.reachability import ReachabilityTracker

# Consecutive failures that eject a target, and for how long. At most half of
# a service's targets are ejected.
_EJECTION_S = 2.0
_EJECTED_SHARE = 0.5
_EJECTION_RULES = OutlierRules(3, _EJECTION_S, _EJECTED_SHARE)


class RequestDependencies(NamedTuple):
    """Hold the objects that request handling shares with other parts."""

    settings: EdgeSettings
    dialect: Dialect
    configuration: CurrentConfiguration
    directory: TargetDirectory
    reachability: ReachabilityTracker
    control: ControlParts
    metrics: EdgeMetrics
    quota_metrics: QuotaMetrics
    loads: LoadExchange


class RequestParts:
    """Own the way of a request, from the listener to the targets."""

    def __init__(
        self,
        dependencies: RequestDependencies,
        clock: Clock,
        generator: random.Random,
        read_drain_rules: Callable[[], DrainRules],
    ) -> None:
        self._dependencies = dependencies
        self._clock = clock
        settings = dependencies.settings
        self.pool = ConnectionPool(PoolRules(TARGET_CONNECT_TIMEOUT_S))
        self.memory = build_request_memory(settings)
        self.quota_exchange = QuotaExchange(
            dependencies.control.presence,
            dependencies.configuration,
            clock,
            read_quota_rules(settings),
        )
        self.quotas = QuotaGate(
            QuotaParts(
                self.quota_exchange.quotas,
                dependencies.quota_metrics,
                self.quota_exchange.ask_soon,
            ),
            clock,
        )
        self.quota_exchange.on_grants = self.quotas.wake
        self.budgets = ServiceBudgets(
            clock,
            read_retry_rules(settings),
            dependencies.control.count_hosts,
        )
        self._outliers = OutlierDetector(
            clock,
            self._list_service_instances,
            self._can_eject,
            _EJECTION_RULES,
        )
        self._loads = TargetLoads(
            generator,
            dependencies.metrics,
            dependencies.loads.record,
            self.pool,
        )
        dependencies.loads.on_load = self._loads.record_shared
        self.listener = CallerListener(
            Address.parse(settings['callers']),
            Forwarder(self._build_forwarding()),
            dependencies.configuration,
            dependencies.metrics,
            clock,
            read_drain_rules,
            self.memory.clients,
            compute_connections_max(settings),
        )

    def retain(self, instances: Iterable[str]) -> None:
        """Remove what is known of targets that aren't named."""
        retained = frozenset(instances)
        self._loads.retain(self._dependencies.directory)
        self._outliers.retain(retained)

    def change_settings(self, settings: EdgeSettings) -> None:
        """Apply the settings that may change while the process runs."""
        self.budgets.change_rules(read_retry_rules(settings))

    def refresh_metrics(self) -> None:
        """Update the gauges before they are read."""
        self.memory.refresh(self._dependencies.metrics)
        self.quotas.refresh_metrics()
        self.listener.refresh_metrics()

    def _build_forwarding(self) -> ForwardingParts:
        shared = self._dependencies
        control = shared.control
        return ForwardingParts(
            admission=RequestAdmission(
                shared.dialect, shared.configuration, self.quotas
            ),
            selector=TargetSelector(
                shared.directory,
                self._loads,
                self._outliers,
                shared.reachability,
                shared.settings['data_centre'],
                control.availability.holds,
            ),
            runner=AttemptRunner(
                self.pool,
                shared.dialect,
                self._loads,
                shared.reachability,
                control.availability,
                control.crashes.build_observer(
                    shared.directory, self.pool.connect
                ),
                self.memory.responses,
            ),
            runs=RunMonitor(shared.dialect, self._clock),
            outliers=self._outliers,
            waits=control.waits,
            demand=control.demand_meter,
            suspects=control.suspects,
            quarantines=control.crashes.quarantines,
            metrics=shared.metrics,
            claim_probe=control.crashes.keeper.claim_probe,
            budget_of=self.budgets.of_service,
            estimate_load_s=LoadTimeEstimator(
                shared.directory,
                shared.configuration,
                control.presence,
            ).estimate,
            clock=self._clock,
        )

    def _list_service_instances(self, instance: str) -> list[str]:
        directory = self._dependencies.directory
        target = directory.get(instance)
        if target is None:
            return []
        return [each.instance for each in directory.of_service(target.service)]

    def _can_eject(self, _instance: str) -> bool:
        # Ejected targets are still used if no other target holds a model.
        return True
