"""Test that the process of a gateway follows its settings."""

import random

import anyio
from opentelemetry import trace
from prometheus_client import CollectorRegistry

from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_virtual
from cassiarail.gateway.process import GatewayConnections, GatewayProcess
from cassiarail.store.backends.memory import MemoryObjectStore


def _build_process(drain_timeout_s):
    return GatewayProcess(
        {
            'name': 'g1',
            'data_centre': 'bex',
            'controllers': [],
            'drain_timeout_s': drain_timeout_s,
        },
        GatewayConnections(MemoryObjectStore(), None, None),
        LoopClock(),
        random.Random(1),
        CollectorRegistry(),
        trace.NoOpTracer(),
    )


def test_a_drain_does_not_outlast_the_drain_timeout_of_the_settings():
    async def main():
        requests = _build_process(7).application.requests
        started_at = anyio.current_time()
        with requests.track('r1'):
            await requests.drain()
        assert anyio.current_time() - started_at == 7

    run_virtual(main)
