"""Assemble a gateway process from its settings."""

import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import httpx
from opentelemetry import trace
from prometheus_client import CollectorRegistry

from cassiarail.conf import global_defaults
from cassiarail.conf.schema import GatewaySettings
from cassiarail.core.clock import Clock
from cassiarail.core.exceptions import PeerError
from cassiarail.core.lifecycle import Component
from cassiarail.declarations.schema import (
    ConfigurationDocument,
    DeclarationsDocument,
)
from cassiarail.gateway.admission_queue import AdmissionQueue
from cassiarail.gateway.application import (
    GatewayApplication,
    GatewayEnvironment,
    GatewayHooks,
)
from cassiarail.gateway.endpoints import GatewayLimits
from cassiarail.gateway.feed import FeedClient
from cassiarail.gateway.hooks import RetryBudget
from cassiarail.gateway.quarantine import Quarantine
from cassiarail.gateway.routing_hooks import (
    DemandMeter,
    QuarantineGuard,
    RoutedAdmission,
)
from cassiarail.limits.retry_tokens import RetryTokens
from cassiarail.limits.suspicion import Announcement
from cassiarail.membership.backends.base import PeerTransport
from cassiarail.membership.protos import peers_pb2 as pb
from cassiarail.routing.backends.affinity import AffinityPolicy
from cassiarail.routing.backends.base import RoutingPolicy
from cassiarail.routing.snapshot import RoutingSnapshot
from cassiarail.routing.table import RoutingTable
from cassiarail.store.backends.base import ObjectStore
from cassiarail.telemetry.operators import create_operator_app

TransportFactory = Callable[[str], httpx.AsyncBaseTransport]
_REPORT_INTERVAL_S = 1.0
_RETRY_SHARE = 0.2
# A crash of one target breaks all its streams at once; the burst permits all
# those of one gateway to resume on other targets.
_RETRY_FLOOR_PER_S = 4.0
_RETRY_BURST = 32.0


class GatewayConnections(NamedTuple):
    """Hold the connections of a gateway to store, peers and targets."""

    store: ObjectStore
    peers: PeerTransport
    create_transport: TransportFactory


class TokenRetryBudget(RetryBudget):
    """Limit retries with the tokens that successes add."""

    def __init__(self, tokens: RetryTokens) -> None:
        self._tokens = tokens

    def record_success(self) -> None:
        """Add a fraction of a retry to the budget."""
        self._tokens.record_success()

    def try_spend(self) -> bool:
        """Spend one retry; return whether the budget had one."""
        return self._tokens.try_spend()


class GatewayProcess:
    """Own all components of a gateway except its listeners."""

    def __init__(
        self,
        settings: GatewaySettings,
        connections: GatewayConnections,
        clock: Clock,
        generator: random.Random,
        registry: CollectorRegistry,
        tracer: trace.Tracer,
        policy: RoutingPolicy | None = None,
    ) -> None:
        """Accept a routing policy; ``None`` selects affinity."""
        self.settings = settings
        self.registry = registry
        self._connections = connections
        self._meter = DemandMeter(clock)
        self.feed = FeedClient(
            connections.peers,
            lambda: [peer['address'] for peer in settings['controllers']],
            self._collect_report,
            clock,
            generator,
        )
        self.feed.add_listener(self._apply_update)
        self.table = RoutingTable(clock)
        self.admission_queue = AdmissionQueue(
            clock, find_weight=self._find_weight
        )
        self.quarantine = Quarantine(
            settings['name'],
            clock,
            generator,
            self._announce,
        )
        routed = RoutedAdmission(
            self.table,
            policy or AffinityPolicy(generator),
            self.admission_queue,
            self._meter,
            settings['data_centre'],
        )
        self.application = GatewayApplication(
            GatewayEnvironment(
                name=settings['name'],
                snapshot=self._read_snapshot,
                declarations=self._read_declarations,
                store=connections.store,
                clock=clock,
                generator=generator,
                transports=connections.create_transport,
                registry=registry,
                tracer=tracer,
                limits=_read_limits(settings),
                drain_timeout_s=settings.get(
                    'drain_timeout_s',
                    global_defaults.DRAIN_TIMEOUT_S,
                ),
            ),
            GatewayHooks(
                routed,
                routed,
                QuarantineGuard(self.quarantine, self._find_instance),
                TokenRetryBudget(
                    RetryTokens(
                        clock,
                        share=_RETRY_SHARE,
                        floor_per_s=_RETRY_FLOOR_PER_S,
                        burst=_RETRY_BURST,
                    ),
                ),
            ),
        )

    @property
    def components(self) -> Sequence[Component]:
        """Return all components in the order in which they start."""
        return (self.feed, *self.application.components)

    @property
    def asgi(self) -> Any:
        """Return the application that serves callers."""
        return self.application.asgi

    def describe(self) -> dict[str, Any]:
        """Return the status for operators."""
        return {
            'name': self.settings['name'],
            'data_centre': self.settings['data_centre'],
            'generation': self._read_snapshot().generation,
            'controller': self.feed.controller,
            'in_progress': self.application.requests.count,
            'queued': self.admission_queue.queued,
            'quarantine': [
                entry._asdict() for entry in self.quarantine.list_entries()
            ],
        }

    def build_operator_app(self, is_ready: Callable[[], bool]) -> Any:
        """Return the application that serves operators."""
        return create_operator_app(is_ready, self.registry, self.describe)

    async def aclose(self) -> None:
        """Close the connections that no component owns."""
        await self._connections.peers.aclose()
        await self._connections.store.aclose()

    def _read_snapshot(self) -> RoutingSnapshot:
        return self.feed.snapshot or RoutingSnapshot(0)

    def _read_declarations(self) -> DeclarationsDocument:
        configuration = self.feed.configuration
        if configuration is None:
            return _EMPTY_DECLARATIONS
        return configuration['declarations']

    def _apply_update(
        self,
        snapshot: RoutingSnapshot,
        configuration: ConfigurationDocument | None,
    ) -> None:
        self.table.update(snapshot)
        self.quarantine.merge_snapshot(snapshot.quarantined, snapshot.suspects)

    def _find_instance(self, target: str) -> str:
        for state in self._read_snapshot().targets:
            if state.name == target:
                return state.instance
        return ''

    def _find_weight(self, caller: str) -> int:
        for document in self._read_declarations()['callers']:
            if document['name'] == caller:
                return document.get('weight', 1)
        return 1

    async def _announce(self, announcement: Announcement) -> None:
        report = pb.GatewayReport(gateway=self.settings['name'])
        for notice in announcement.crashes:
            for crash in notice.crashes:
                target, _, instance = crash.partition('@')
                report.suspicions.append(
                    pb.CrashSuspicion(
                        fingerprint=notice.fingerprint,
                        target=target,
                        instance=instance,
                    ),
                )
        report.cleared.extend(
            entry.fingerprint for entry in announcement.cleared
        )
        if not report.suspicions and not report.cleared:
            return
        try:
            await self.feed.report_now(report)
        except PeerError:
            # At worst, other gateways detect the crash in their own attempts.
            return

    def _collect_report(self) -> pb.GatewayReport:
        demand = self._meter.read(_REPORT_INTERVAL_S)
        return pb.GatewayReport(
            gateway=self.settings['name'],
            demand=[
                pb.ModelDemand(model=model, concurrent=mean)
                for model, mean in demand.items()
            ],
        )


def _read_limits(settings: GatewaySettings) -> GatewayLimits:
    limits = settings.get('limits', {})
    return GatewayLimits(
        body_bytes=limits.get(
            'body_max_bytes',
            global_defaults.CALLER_BODY_MAX_BYTES,
        ),
        header_bytes=limits.get(
            'headers_max_bytes',
            global_defaults.CALLER_HEADERS_MAX_BYTES,
        ),
        body_time_s=limits.get(
            'body_timeout_s',
            global_defaults.CALLER_BODY_TIMEOUT_S,
        ),
        connect_timeout_s=global_defaults.TARGET_CONNECT_TIMEOUT_S,
    )


_EMPTY_DECLARATIONS = DeclarationsDocument(
    fleet={
        'deployment': '',
        'region': '',
        'data_centres': [],
        'defaults': {},
        'platform': {
            'weight_loads_per_second': 0,
            'weight_loads_at_once': 0,
            'adapter_loads_in_flight': 0,
        },
    },
    models=[],
    services=[],
    callers=[],
    exceptions=[],
)
