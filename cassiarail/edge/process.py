"""Build the components of a ``cassiarail-edge`` process."""

import pathlib
import random
from typing import NamedTuple

from prometheus_client import CollectorRegistry

from cassiarail.conf.edge import EdgeSettings
from cassiarail.core.clock import BootClock
from cassiarail.core.lifecycle import Application, Component
from cassiarail.edge.control import ControlParts
from cassiarail.edge.dependencies import ControlDependencies
from cassiarail.edge.dialect import Dialect
from cassiarail.edge.fleet.configuration_copies import ConfigurationCopies
from cassiarail.edge.fleet.load_exchange import LoadExchange
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.edge.registry.configuration import CurrentConfiguration
from cassiarail.edge.registry.parts import RegistryParts
from cassiarail.edge.registry.targets import TargetDirectory
from cassiarail.edge.requests.caller_listener import DrainRules
from cassiarail.edge.requests.parts import RequestDependencies, RequestParts
from cassiarail.edge.requests.quotas import QuotaMetrics
from cassiarail.edge.status import (
    MetricsListener,
    ReadinessListener,
    StatusListener,
)
from cassiarail.edge.upkeep import SettingsWatch, Upkeep
from cassiarail.http1.pool import Address
from cassiarail.routing.reachability import ReachabilityTracker
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.monitor import Checkable
from cassiarail.store.observed import ObservedStore
from cassiarail.telemetry.line_writer import LineWriter

# Requests that are still in progress after this share of the stop time are
# aborted, so that their error responses can still be sent.
_STOP_SHARE = 0.92


class EdgeDependencies(NamedTuple):
    """Hold the platform interfaces that a process uses."""

    dialect: Dialect
    store: ObjectStore
    checkable: Checkable


class EdgeProcess:
    """Own the components of one process."""

    def __init__(
        self,
        settings: EdgeSettings,
        path: pathlib.Path,
        dependencies: EdgeDependencies,
        log_writer: LineWriter,
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._clock = BootClock()
        self._generator = random.Random()
        self._registry = CollectorRegistry()
        self._metrics = EdgeMetrics(self._registry)
        self._log_writer = log_writer
        self._configuration = CurrentConfiguration()
        self._directory = TargetDirectory(self._clock.monotonic)
        self._reachability = ReachabilityTracker(self._clock)
        self._store = ObservedStore(
            dependencies.store,
            dependencies.checkable,
            self._clock,
            self._registry,
        )
        control_dependencies = ControlDependencies(
            settings,
            dependencies.dialect,
            self._store,
            self._configuration,
            ConfigurationCopies(
                self._configuration, dependencies.dialect, self._clock
            ),
            LoadExchange(self._clock),
            self._directory,
            self._reachability,
            self._registry,
        )
        self._control = ControlParts(
            control_dependencies,
            self._clock,
            self._generator,
        )
        self._registry_parts = RegistryParts(
            control_dependencies,
            self._control,
            self._on_directory_change,
            self._clock,
            self._generator,
        )
        self._requests = RequestParts(
            RequestDependencies(
                settings,
                dependencies.dialect,
                self._configuration,
                self._directory,
                self._reachability,
                self._control,
                self._metrics,
                QuotaMetrics(self._registry),
                control_dependencies.loads,
            ),
            self._clock,
            self._generator,
            self._read_drain_rules,
        )
        self._caller_listener = self._requests.listener
        self._control.is_stopping = lambda: self._caller_listener.is_draining
        self.application = Application(
            'edge',
            self._build_components(path),
            self._clock,
            self._generator,
        )

    def is_ready(self) -> bool:
        """Return whether this host can accept callers' connections."""
        return (
            not self._caller_listener.is_draining
            and self._configuration.current is not None
            and self._registry_parts.watches.is_listed
        )

    def _build_components(self, path: pathlib.Path) -> list[Component]:
        self._status_listeners = self._build_status_listeners()
        return [
            self._registry_parts.watches,
            *self._control.components,
            self._requests.quota_exchange,
            Upkeep(
                self._clock,
                [
                    self._requests.pool.sweep,
                    self._requests.quotas.end_episodes,
                    self._control.order_pool.sweep,
                    self._registry_parts.targets.expire,
                    self._control.traffic.log_traffic,
                    self._store.log_calls,
                ],
                self._reconnect_after_suspension,
            ),
            SettingsWatch(path, self._clock, self._apply, self._settings),
            *self._status_listeners,
            self._caller_listener,
        ]

    def _build_status_listeners(self) -> list[StatusListener]:
        readiness = self._settings['readiness']
        metrics = self._settings['metrics']
        return [
            MetricsListener(
                Address.parse(metrics['address']),
                metrics['path'],
                self._registry,
                self._refresh_metrics,
            ),
            ReadinessListener(
                Address.parse(readiness['address']),
                readiness['path'],
                self.is_ready,
            ),
        ]

    def _on_directory_change(self) -> None:
        instances = frozenset(target.instance for target in self._directory)
        self._requests.retain(instances)
        identities = [target.identity for target in self._directory]
        self._reachability.retain(identities)
        self._control.availability.holds.retain(identities)
        self._control.waits.wake()
        self._control.leader.wake()

    def _read_drain_rules(self) -> DrainRules:
        return DrainRules(
            self._settings['bounds']['stop_s'] * _STOP_SHARE,
            signalled_at=self.application.stop_requested_at,
        )

    def _refresh_metrics(self) -> None:
        self._metrics.quarantines.set(
            len(self._control.crashes.quarantines.all)
        )
        self._requests.refresh_metrics()
        for each in self._status_listeners:
            self._metrics.set_limit_counts(each.name, each.limit_counts)
        self._metrics.dropped_lines.set(self._log_writer.dropped)

    def _reconnect_after_suspension(self) -> None:
        self._requests.pool.close_idle()
        self._control.order_pool.close_idle()
        self._registry_parts.watches.reconnect()

    def _apply(self, settings: EdgeSettings) -> None:
        self._settings = settings
        self._requests.change_settings(settings)
