"""Build a gateway with fake targets on the in-process network."""

import json
import random

import anyio
import httpx
from opentelemetry import trace
from prometheus_client import CollectorRegistry

from cassiarail.core.clock import MANUAL_START, LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.gateway.application import (
    GatewayApplication,
    GatewayEnvironment,
)
from cassiarail.routing.snapshot import (
    RoutingSnapshot,
    TargetKind,
    TargetState,
)
from cassiarail.security.keys import compute_key_digest
from cassiarail.standins.network import MemoryTransport, Network
from tests.gateway.fakes import FakeStore

GATEWAY = 'gateway.test:80'
KEYS = {'pan-master': 'key-one', 'clerk': 'key-two'}


def build_declarations():
    """Declare one model with one adapter and one plain service."""
    return {
        'fleet': {
            'deployment': 'test',
            'region': 'ch-west',
            'data_centres': ['bex'],
            'defaults': {
                'timeout_s': 60,
                'idle_timeout_s': 3,
                'max_tokens': 100,
            },
            'platform': {},
        },
        'models': [
            {
                'name': 'salz',
                'service': 'salzmodell',
                'version': '1',
                'bytes': 1,
                'adapters': [{'name': 'riburg', 'bytes': 1}],
            },
            {
                'name': 'andere',
                'service': 'salzmodell',
                'version': '1',
                'bytes': 1,
                'adapters': [],
            },
        ],
        'services': [
            {
                'name': 'register',
                'kind': 'plain',
                'checks_fence': False,
                'idempotent_paths': ['/search'],
                'targets': [],
            },
            {
                'name': 'salzmodell',
                'kind': 'engine',
                'checks_fence': True,
                'idempotent_paths': [],
                'targets': [],
            },
        ],
        'callers': [
            {
                'name': 'pan-master',
                'key_digests': [compute_key_digest(KEYS['pan-master'])],
                'models': ['salz'],
                'services': ['*'],
            },
            {
                'name': 'clerk',
                'key_digests': [compute_key_digest(KEYS['clerk'])],
                'models': ['*'],
                'services': [],
            },
        ],
        'exceptions': [],
    }


def build_environment(
    targets, store, clock, transports, registry=None, seed=1, name='g1'
):
    """Return the environment of a gateway in front of targets."""
    declarations = build_declarations()
    return GatewayEnvironment(
        name=name,
        snapshot=lambda: RoutingSnapshot(1, tuple(targets())),
        declarations=lambda: declarations,
        store=store,
        clock=clock,
        generator=random.Random(seed),
        transports=transports,
        registry=registry or CollectorRegistry(),
        tracer=trace.NoOpTracer(),
    )


class GatewayHarness:
    """Hold the network, the gateway and its targets."""

    def __init__(self, group, hooks=None, store=None, seed=1, limits=None):
        self.group = group
        self.network = Network(group)
        self.clock = LoopClock(MANUAL_START)
        self.targets = []
        self.store = store or FakeStore()
        self.transports = []
        self.registry = CollectorRegistry()
        environment = build_environment(
            lambda: self.targets,
            self.store,
            self.clock,
            self.open_transport,
            self.registry,
            seed,
        )
        if limits is not None:
            environment = environment._replace(limits=limits)
        self.gateway = GatewayApplication(environment, hooks)
        self.network.listen(GATEWAY, self.gateway.asgi)
        group.start_soon(self.gateway.jobs.run)

    def open_transport(self, address):
        """Create the gateway's transport to one target."""
        transport = MemoryTransport(self.network, 'gateway')
        self.transports.append((address, transport))
        return transport

    def add(self, target, kind=TargetKind.ENGINE, **fields):
        """Start a fake target and add it to the snapshot."""
        service = 'salzmodell' if kind is TargetKind.ENGINE else 'register'
        self.network.listen(target.address, target)
        state = TargetState(
            name=target.name,
            service=service,
            kind=kind,
            data_centre='bex',
            address=target.address,
            models=frozenset({'salz'}),
            adapters=frozenset({'salz/riburg'}),
        )
        self.targets.append(state._replace(**fields))
        return target

    def client(self, caller='pan-master', timeout=120):
        """Return an HTTP client with the key of a caller."""
        return httpx.AsyncClient(
            transport=MemoryTransport(self.network, 'caller'),
            base_url=f'http://{GATEWAY}',
            headers={'authorization': f'Bearer {KEYS[caller]}'},
            timeout=timeout,
        )


def run_harness(scenario, **options):
    """Run a scenario in virtual time; a hang fails after one hour."""

    async def main():
        with anyio.fail_after(3600):
            async with anyio.create_task_group() as group:
                harness = GatewayHarness(group, **options)
                async with harness.client() as client:
                    await scenario(harness, client)
                group.cancel_scope.cancel()

    run_virtual(main)


def chat(stream=False, **fields):
    """Return the body of a completion request."""
    message = {'role': 'user', 'content': 'Wie war die Ernte'}
    return {'model': 'salz', 'messages': [message], 'stream': stream, **fields}


def read_tokens(body):
    """Return the ids and text of a stream, and whether it is complete."""
    ids, text = [], ''
    for event in body.split('\n\n'):
        if event.startswith('id:'):
            first, second = event.split('\n')
            ids.append(int(first[3:]))
            choice = json.loads(second[5:])['choices'][0]
            text += choice['delta'].get('content', '')
    return ids, text, body.endswith('data: [DONE]\n\n')
