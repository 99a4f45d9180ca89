"""Assemble a controller process from its settings."""

import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import httpx
from prometheus_client import CollectorRegistry, Gauge
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from cassiarail.conf import global_defaults
from cassiarail.conf.schema import ControllerSettings
from cassiarail.control.configuration import ConfigurationManager
from cassiarail.control.orders import HttpEngineAdmin
from cassiarail.controller.application import (
    ControllerSettings as PlacementSettings,
)
from cassiarail.controller.application import PlacementControl
from cassiarail.controller.demand import ReportedDemand
from cassiarail.controller.directory import TargetDirectory
from cassiarail.controller.feed import SnapshotFeed
from cassiarail.controller.loads import HttpLoadSource
from cassiarail.core.clock import Clock
from cassiarail.core.lifecycle import Component
from cassiarail.declarations.schema import (
    ConfigurationDocument,
    DeclarationsDocument,
)
from cassiarail.membership.backends.base import PeerTransport
from cassiarail.membership.exchange import MembershipNode
from cassiarail.membership.polling import LoadPoller
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.placement.backends.local import LocalPolicy
from cassiarail.placement.backends.priced import PricedPolicy
from cassiarail.store.backends.base import ObjectStore
from cassiarail.telemetry.operators import (
    build_json_response,
    create_operator_app,
)

TransportFactory = Callable[[], httpx.AsyncBaseTransport | None]


class ControllerConnections(NamedTuple):
    """Hold the connections of a controller to other processes."""

    store: ObjectStore
    peers: PeerTransport
    create_transport: TransportFactory


class ControllerProcess:
    """Own all components of a controller except its listeners."""

    def __init__(
        self,
        settings: ControllerSettings,
        connections: ControllerConnections,
        clock: Clock,
        generator: random.Random,
        registry: CollectorRegistry,
    ) -> None:
        self.settings = settings
        self.registry = registry
        self._connections = connections
        data_centre = settings['data_centre']
        self.configuration = ConfigurationManager(
            connections.store,
            self._is_watcher,
            clock,
            generator,
        )
        self.node = MembershipNode(
            settings['peers_listener']['address'],
            self._list_seeds,
            connections.peers,
            self.configuration,
            clock,
            generator,
        )
        self.configuration.add_listener(self._announce)
        self.demand = ReportedDemand(self.read_declarations, clock)
        self.feed = SnapshotFeed(clock, self._handle_report)
        self._admin = HttpEngineAdmin(connections.create_transport())
        self.directory = TargetDirectory(
            data_centre,
            self.read_configuration,
            self.node,
            self._admin,
            connections.store,
            self.feed,
            clock,
            generator,
        )
        self._poller = LoadPoller(
            self.node,
            HttpLoadSource(
                self.read_declarations,
                connections.create_transport(),
            ),
            clock,
            generator,
        )
        self.control = PlacementControl(
            PlacementSettings(
                settings['name'],
                data_centre,
                settings.get(
                    'lease_duration_s',
                    global_defaults.LEASE_DURATION_S,
                ),
                settings.get(
                    'planning_interval_s',
                    global_defaults.PLANNING_INTERVAL_S,
                ),
            ),
            self.read_declarations,
            connections.store,
            connections.create_transport,
            LocalPolicy(PricedPolicy(), data_centre, self.read_declarations),
            self.demand,
            clock,
            generator,
        )
        self._define_metrics()

    @property
    def components(self) -> Sequence[Component]:
        """Return the components in the order in which they start."""
        return (
            self.configuration,
            self.node,
            self._poller,
            self.directory,
            *self.control.components,
        )

    def read_configuration(self) -> ConfigurationDocument | None:
        """Return the current configuration."""
        return self.configuration.current

    def read_declarations(self) -> DeclarationsDocument | None:
        """Return the current declarations."""
        current = self.configuration.current
        return current['declarations'] if current else None

    def describe(self) -> dict[str, Any]:
        """Return the status for operators."""
        peers = self.node.peers
        return {
            'name': self.settings['name'],
            'data_centre': self.settings['data_centre'],
            'generation': self.configuration.generation,
            'live': peers.list_live(),
            'generations': {
                address: peer.generation
                for address, peer in peers.peers.items()
            },
            'holds_lease': self.control.lease.is_held(),
            'fence': self.control.lease.fence,
            'placement': self.control.placement_loop.status,
            'invariants_broken': dict(self.control.invariants.broken),
            'quarantined': sorted(self.node.fingerprints.list_quarantined()),
            'suspects': sorted(self.node.fingerprints.list_suspects()),
        }

    def build_operator_app(self, is_ready: Callable[[], bool]) -> Any:
        """Return the application for the operators' listener."""
        route = Route(
            '/v1/quarantine/{fingerprint}',
            self._lift_quarantine,
            methods=['DELETE'],
        )
        return create_operator_app(
            is_ready, self.registry, self.describe, [route]
        )

    async def aclose(self) -> None:
        """Close the connections that no component owns."""
        await self._admin.aclose()
        await self._connections.peers.aclose()
        await self._connections.store.aclose()

    async def _lift_quarantine(self, request: Request) -> Response:
        fingerprint = request.path_params['fingerprint']
        self.node.lift_quarantine(fingerprint)
        return build_json_response({'lifted': fingerprint})

    async def _announce(self, configuration: ConfigurationDocument) -> None:
        await self.node.announce_configuration()

    async def _handle_report(self, report: pb.GatewayReport) -> None:
        is_announcement = bool(report.suspicions or report.cleared)
        if not is_announcement:
            self.demand.record_report(report)
        for suspicion in report.suspicions:
            self.node.record_crash(
                suspicion.fingerprint,
                suspicion.target,
                suspicion.instance,
            )
        for fingerprint in report.cleared:
            self.node.record_success(fingerprint)

    def _is_watcher(self) -> bool:
        return self.node.peers.is_watcher()

    def _list_seeds(self) -> list[str]:
        return [peer['address'] for peer in self.settings['peers']]

    def _define_metrics(self) -> None:
        generation = Gauge(
            'cassiarail_configuration_generation',
            'Generation of the current configuration.',
            registry=self.registry,
        )
        generation.set_function(lambda: self.configuration.generation)
        members = Gauge(
            'cassiarail_live_controllers',
            'Live controllers of the data centre, as seen by this one.',
            registry=self.registry,
        )
        members.set_function(lambda: len(self.node.peers.list_live()))
        leader = Gauge(
            'cassiarail_placement_lease_held',
            'Whether this controller holds the placement lease.',
            registry=self.registry,
        )
        leader.set_function(lambda: float(self.control.lease.is_held()))
