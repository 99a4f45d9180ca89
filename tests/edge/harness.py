"""Run one host's forwarding path against scripted engines."""

import asyncio
import json
import random

from prometheus_client import CollectorRegistry

from cassiarail.conf.global_defaults import RESPONSE_MEMORY_BYTES
from cassiarail.core.clock import BootClock
from cassiarail.edge.crashes.observer import CrashObserver
from cassiarail.edge.crashes.quarantines import Quarantines
from cassiarail.edge.fleet.demand import DemandMeter
from cassiarail.edge.metrics import EdgeMetrics
from cassiarail.edge.registry.availability import TargetAvailability
from cassiarail.edge.registry.configuration import (
    Configuration,
    CurrentConfiguration,
    EngineType,
    Model,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from cassiarail.edge.registry.targets import Holdings, Target, TargetDirectory
from cassiarail.edge.requests.admission import RequestAdmission
from cassiarail.edge.requests.attempts import AttemptRunner
from cassiarail.edge.requests.forwarding import Forwarder, ForwardingParts
from cassiarail.edge.requests.runs import RunMonitor
from cassiarail.edge.requests.selection import TargetSelector
from cassiarail.edge.requests.suspects import CrashSuspects
from cassiarail.edge.requests.target_loads import TargetLoads
from cassiarail.edge.requests.waiting import PlacementWaits
from cassiarail.http1.assembly import ClientLimits
from cassiarail.http1.client_memory import build_client_memory
from cassiarail.http1.listener import Http1Listener
from cassiarail.http1.pool import Address, ConnectionPool, PoolRules
from cassiarail.limits.byte_budget import ByteBudget
from cassiarail.limits.crash_attribution import CrashAttribution
from cassiarail.limits.service_budgets import ServiceBudgets
from cassiarail.limits.shared_budget import BudgetRules
from cassiarail.platform.dialect import PlatformDialect
from cassiarail.routing.holds import TargetHolds
from cassiarail.routing.outliers import OutlierDetector
from cassiarail.routing.reachability import ReachabilityTracker

HOST = 'h.example'
MAX_CONNECTIONS = 200
MODEL = Model('m', 10, 2, 1, 4.0, 0.8, 0.5)
ENGINE = EngineType(8, 1000, 30, 2, 2.0, {'m': MODEL, 'n': MODEL})


def make_route(name, kind, **changes):
    """Return a route whose path prefix is its name."""
    route = Route(
        name=name,
        host=HOST,
        path_prefix=f'/{name}/',
        kind=kind,
        timeout_s=10,
        objective_s=0.5,
        rank=1,
        shares=(ServiceShare('s', 1),),
        attempts=2,
        can_resume=False,
        pause_s=0.15,
    )
    return route._replace(**changes)


ROUTES = (
    make_route('read', RouteKind.IDEMPOTENT),
    make_route('file', RouteKind.NON_IDEMPOTENT),
    make_route('stream', RouteKind.STREAM, attempts=1),
    make_route('resume', RouteKind.STREAM, can_resume=True),
    make_route('brief', RouteKind.IDEMPOTENT, timeout_s=0.2, attempts=1),
)
CONFIGURATION = Configuration(
    1,
    ROUTES,
    {'s': Service('s', 10, ENGINE)},
    ClientLimits(),
)


class Fleet:
    """Run a forwarder and its listener, and register engines."""

    def __init__(
        self,
        configuration=CONFIGURATION,
        budget=None,
        attempt_rules=None,
        run_rules=None,
    ):
        self.clock = BootClock()
        self.directory = TargetDirectory(self.clock.monotonic)
        self.current_configuration = CurrentConfiguration()
        if configuration is not None:
            self.current_configuration.offer(configuration)
        self.metrics_registry = CollectorRegistry()
        metrics = EdgeMetrics(self.metrics_registry)
        dialect = PlatformDialect()
        self.outliers = OutlierDetector(
            self.clock,
            lambda _name: [each.instance for each in self.directory],
            lambda _name: True,
        )
        self.reachability = ReachabilityTracker(self.clock)
        self.waits = PlacementWaits(lambda: None)
        self.suspects = CrashSuspects(self.clock)
        self.quarantines = Quarantines(CrashAttribution(self.clock), self.clock)
        self.availability = TargetAvailability(
            self.directory,
            TargetHolds(self.clock, random.Random(1)),
            self.waits.wake,
        )
        budgets = ServiceBudgets(
            self.clock,
            budget or BudgetRules(0.2, 100, 10),
            lambda: 1,
        )
        self.expected_s = 0.01
        self.pool = ConnectionPool(PoolRules(connect_timeout_s=2))
        loads = TargetLoads(
            random.Random(1), metrics, lambda *_load: None, self.pool
        )
        self.memory = ByteBudget(RESPONSE_MEMORY_BYTES)
        self.client_memory = build_client_memory()
        self.forwarder = Forwarder(
            ForwardingParts(
                RequestAdmission(dialect, self.current_configuration),
                TargetSelector(
                    self.directory,
                    loads,
                    self.outliers,
                    self.reachability,
                    'dc',
                    self.availability.holds,
                ),
                AttemptRunner(
                    self.pool,
                    dialect,
                    loads,
                    self.reachability,
                    self.availability,
                    CrashObserver(
                        self.quarantines,
                        self.directory,
                        self.pool.connect,
                        self.clock,
                    ),
                    self.memory,
                    attempt_rules,
                ),
                RunMonitor(dialect, self.clock, run_rules),
                self.outliers,
                self.waits,
                DemandMeter(self.clock),
                self.suspects,
                self.quarantines,
                metrics,
                self.claim_probe,
                budgets.of_service,
                lambda _service, _variant: self.expected_s,
                self.clock,
            ),
        )

    async def __aenter__(self):
        self.listener = Http1Listener(
            Address('127.0.0.1', 0),
            self.forwarder.forward,
            self.current_configuration.limits,
            memory=self.client_memory,
            max_connections=MAX_CONNECTIONS,
        )
        await self.listener.start()
        bound = self.listener._server.sockets[0].getsockname()
        self.address = Address(*bound)
        return self

    async def __aexit__(self, *_error):
        self.listener.stop()

    async def claim_probe(self, _quarantine):
        """Allow no probes."""
        return False

    def add(self, server, instance, models=('m',), **changes):
        """Add an engine to the host's directory."""
        target = Target(
            instance,
            1,
            's',
            server.address,
            'dc',
            8,
            holdings=Holdings({name: frozenset() for name in models}),
        )
        self.directory.put(target._replace(**changes))
        self.waits.wake()

    async def send_with_successor(self, route, first, second, is_known=None):
        """Send a request to one engine, and register another meanwhile.

        ``is_known`` is set as soon as both are registered; until then the
        first engine has to wait with what makes the host try the second one.
        """
        self.add(first, 'i-0')
        pending = asyncio.ensure_future(self.send_request(route))
        while not first.received:
            await asyncio.sleep(0.001)
        self.add(second, 'i-1')
        if is_known is not None:
            is_known.set()
        return await pending

    async def send_request(self, route, headers='', body=b'', method='POST'):
        """Send a request and return all bytes of the response."""
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(encode_request(route, headers, body, method))
        try:
            return await reader.read(-1)
        except ConnectionError:
            return b'(reset)'
        finally:
            writer.close()


def encode_request(route, headers='', body=b'', method='POST'):
    """Return the bytes of a request on a route."""
    return (
        f'{method} /{route}/x?q=1 HTTP/1.1\r\nHost: {HOST}\r\n'
        'X-Cassiarail-Request-Id: r1\r\nConnection: close\r\n'
        f'X-Cassiarail-Deadline-Ms: 8000\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def make_response(body=b'ok', status='200 OK', headers='', request_id='r1'):
    """Return a stamped response of an engine."""
    return (
        f'HTTP/1.1 {status}\r\nX-Cassiarail-Request-Id: {request_id}\r\n'
        f'X-Cassiarail-Server-Stamp: stamp\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


NOT_RUN = (
    b'HTTP/1.1 503 Busy\r\nX-Cassiarail-Not-Run: 1\r\n'
    b'X-Cassiarail-Request-Id: r1\r\nContent-Length: 0\r\n\r\n'
)


def make_report(running=(), waiting=0):
    """Return the response with an engine's report."""
    report = {
        'models': [],
        'seq': 0,
        'busy': False,
        'waiting': waiting,
        'runs': [[request_id, 10, 1, 5] for request_id in running],
    }
    return make_response(json.dumps(report).encode())


def is_report_request(head):
    """Return whether a request asks for an engine's report."""
    return head.startswith(b'GET /v1/report ')


def serve(*responses):
    """Return a script that sends each response, or resets for ``None``."""
    remaining = list(responses)

    async def script(server, reader, writer):
        while True:
            await server.read_request(reader)
            response = remaining.pop(0) if remaining else make_response()
            if response is None:
                writer.transport.abort()
                return
            writer.write(response)
            await writer.drain()

    return script


def serve_in_turn(*responses):
    """Return scripts of two engines that share one list of responses."""
    script = serve(*responses)
    return [script, script]
