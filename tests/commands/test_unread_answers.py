"""Test that callers outside the limits don't use up a host's memory.

They send many requests ahead and read no answer. The crowds and the bounds are
fixed: the hosts of these tests have lower limits than the default.
"""

import pytest

from cassiarail.core.loops import run_real
from tests.commands.crowds import (
    Crowd,
    HostRun,
    encode_get,
    send_ordinary_meanwhile,
)

LIMITS = {'client_memory_bytes': 1_048_576}
CONNECTIONS = 8
COPIES = 100_000
# Larger answers need fewer requests.
PAGE_COPIES = 2000
GROWTH_BYTES = 12_000_000
SPARE_DESCRIPTORS = 16


def check_crowd(folder, find_port, request, copies):
    async def main():
        async with HostRun(folder, LIMITS) as run:
            host = run.host
            memory = host.read_memory('VmHWM')
            descriptors = host.count_descriptors()
            port = find_port(host)
            async with Crowd(port, request, CONNECTIONS, copies) as crowd:
                await send_ordinary_meanwhile(run, crowd)
                spare = host.count_descriptors() - descriptors - CONNECTIONS
                growth = host.read_memory('VmHWM') - memory
                assert host.is_running
                assert growth <= GROWTH_BYTES
                assert spare <= SPARE_DESCRIPTORS
                assert await run.send_ordinary()
            assert await run.send_ordinary()

    run_real(main)


def find_callers(host):
    return host.port


def find_ready(host):
    return host.ready_port


def find_metrics(host):
    return host.metrics_port


@pytest.mark.parametrize(
    ('find_port', 'path', 'copies'),
    [
        (find_callers, '/file/1', COPIES),
        (find_ready, '/v1/readyz', COPIES),
        (find_callers, '/none', COPIES),
        (find_metrics, '/metrics', PAGE_COPIES),
    ],
)
def test_requests_sent_ahead_use_bounded_memory(
    tmp_path, find_port, path, copies
):
    check_crowd(tmp_path, find_port, encode_get(path), copies)
