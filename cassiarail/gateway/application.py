"""Build the ASGI application that serves callers."""

import random
from typing import NamedTuple

from opentelemetry import trace
from prometheus_client import CollectorRegistry
from starlette.applications import Starlette
from starlette.routing import Route

from cassiarail.conf import global_defaults
from cassiarail.core.clock import Clock
from cassiarail.declarations.resolve import resolve_policy
from cassiarail.gateway.attempts import (
    AttemptDependencies,
    LeavingTargets,
    SnapshotSource,
)
from cassiarail.gateway.background import BackgroundJobs, PoolCleaner
from cassiarail.gateway.chat import ChatEndpoint
from cassiarail.gateway.completions import CompletionDependencies
from cassiarail.gateway.directory import (
    DeclarationsSource,
    DirectorySource,
    PolicyResolver,
)
from cassiarail.gateway.drain import RequestRegistry
from cassiarail.gateway.endpoints import EndpointDependencies, GatewayLimits
from cassiarail.gateway.hooks import (
    Admission,
    CrashGuard,
    LeastInFlightChooser,
    NoCrashGuard,
    RatioRetryBudget,
    RetryBudget,
    TargetChooser,
    UnlimitedAdmission,
)
from cassiarail.gateway.idempotency import AtMostOnceDependencies
from cassiarail.gateway.metrics import GatewayMetrics
from cassiarail.gateway.routes import (
    CancelEndpoint,
    ModelsEndpoint,
    UnknownEndpoint,
)
from cassiarail.gateway.service_runs import ServiceDependencies
from cassiarail.gateway.services import ServiceEndpoint
from cassiarail.gateway.tracing import HopTracer
from cassiarail.store.backends.base import ObjectStore
from cassiarail.store.claims import ClaimRepository
from cassiarail.targets.backends.engine import Engine
from cassiarail.targets.backends.service import PlainService
from cassiarail.targets.connections import ConnectionPools, TransportFactory


class GatewayHooks(NamedTuple):
    """Hold the replaceable policies of the request path."""

    admission: Admission
    chooser: TargetChooser
    guard: CrashGuard
    budget: RetryBudget

    @classmethod
    def permissive(cls) -> 'GatewayHooks':
        """Return hooks that admit everything."""
        return cls(
            UnlimitedAdmission(),
            LeastInFlightChooser(),
            NoCrashGuard(),
            RatioRetryBudget(),
        )


class GatewayEnvironment(NamedTuple):
    """Hold what a gateway needs from the rest of its process.

    ``name`` identifies the gateway in claims. ``transports`` creates one
    transport, with its own connection pool, per target address.
    """

    name: str
    snapshot: SnapshotSource
    declarations: DeclarationsSource
    store: ObjectStore
    clock: Clock
    generator: random.Random
    transports: TransportFactory
    registry: CollectorRegistry
    tracer: trace.Tracer
    limits: GatewayLimits = GatewayLimits()
    resolver: PolicyResolver = resolve_policy
    drain_timeout_s: float = global_defaults.DRAIN_TIMEOUT_S


class GatewayApplication:
    """Own the request path of one gateway.

    ``asgi`` serves callers. ``components`` start after the listeners, because
    components drain in reverse order and the requests must finish before the
    listeners close.
    """

    def __init__(
        self,
        environment: GatewayEnvironment,
        hooks: GatewayHooks | None = None,
    ) -> None:
        self.requests = RequestRegistry(environment.drain_timeout_s)
        self.jobs = BackgroundJobs()
        self.pools = ConnectionPools(environment.transports)
        self.pool_cleaner = PoolCleaner(
            self.pools,
            environment.snapshot,
            environment.clock,
        )
        self.metrics = GatewayMetrics(environment.registry)
        self._environment = environment
        self._hooks = hooks or GatewayHooks.permissive()
        self._tracer = HopTracer(environment.tracer)
        self.asgi = self._build_asgi()

    @property
    def components(self) -> tuple[PoolCleaner, BackgroundJobs, RequestRegistry]:
        """Return the components in the order in which they start."""
        return (self.pool_cleaner, self.jobs, self.requests)

    def _build_asgi(self) -> Starlette:
        environment = self._environment
        dependencies = EndpointDependencies(
            directories=DirectorySource(
                environment.declarations,
                environment.resolver,
            ),
            requests=self.requests,
            admission=self._hooks.admission,
            clock=environment.clock,
            generator=environment.generator,
            metrics=self.metrics,
            tracer=self._tracer,
            limits=environment.limits,
        )
        leaving = LeavingTargets(environment.clock)
        completions = self._build_completions(leaving)
        services = self._build_services(leaving)
        return Starlette(
            routes=[
                Route(
                    '/v1/chat/completions',
                    ChatEndpoint(dependencies, completions),
                ),
                Route('/v1/models', ModelsEndpoint(dependencies)),
                Route(
                    '/v1/requests/{request_id}', CancelEndpoint(dependencies)
                ),
                Route(
                    '/services/{service}/{path:path}',
                    ServiceEndpoint(dependencies, services),
                ),
                Route('/{path:path}', UnknownEndpoint(dependencies)),
            ],
        )

    def _build_attempts(self) -> AttemptDependencies:
        environment = self._environment
        return AttemptDependencies(
            snapshot=environment.snapshot,
            chooser=self._hooks.chooser,
            guard=self._hooks.guard,
            budget=self._hooks.budget,
            clock=environment.clock,
            generator=environment.generator,
            metrics=self.metrics,
            tracer=self._tracer,
            connect_timeout_s=environment.limits.connect_timeout_s,
        )

    def _build_completions(
        self, leaving: LeavingTargets
    ) -> CompletionDependencies:
        return CompletionDependencies(
            self._build_attempts(),
            Engine(self.pools, self._environment.clock),
            self.jobs,
            leaving,
        )

    def _build_services(self, leaving: LeavingTargets) -> ServiceDependencies:
        environment = self._environment
        claims = ClaimRepository(
            environment.store,
            environment.name,
            environment.clock,
            environment.generator,
            self.jobs.submit,
        )
        return ServiceDependencies(
            self._build_attempts(),
            PlainService(self.pools, environment.clock),
            AtMostOnceDependencies(claims, self.jobs, self.metrics),
            leaving,
        )
