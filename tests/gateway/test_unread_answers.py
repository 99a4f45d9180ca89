"""Test how much memory callers who read nothing take from a gateway.

The crowds and the bound are fixed; the listeners run in processes of their own.
"""

import asyncio
import contextlib
import pathlib
import subprocess
import sys

import pytest

from cassiarail.core.loops import run_real
from tests.commands.crowds import Crowd, encode_get
from tests.soak.loopback import ADDRESS

COPIES = 100_000
GROWTH_BYTES = 12_000_000
# Seconds that a crowd has to show its effect.
DURATION_S = 3


@contextlib.contextmanager
def start(kind):
    command = [sys.executable, '-m', 'tests.gateway.listening', kind, ADDRESS]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        try:
            yield process, int(process.stdout.readline())
        finally:
            process.terminate()


def read_peak(process):
    """Return the largest size of a process in bytes."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text('ascii')
    line = next(each for each in status.splitlines() if 'VmHWM' in each)
    return int(line.split()[1]) * 1024


async def wait_until_listening(port):
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(ADDRESS, port)
            writer.close()
            return
        await asyncio.sleep(0.05)


def check_growth(kind, connections):
    async def main():
        with start(kind) as (process, port):
            await wait_until_listening(port)
            before = read_peak(process)
            request = encode_get('/healthz')
            async with Crowd(port, request, connections, COPIES):
                await asyncio.sleep(DURATION_S)
                assert process.poll() is None
                growth = read_peak(process) - before
            assert growth <= GROWTH_BYTES

    run_real(main)


@pytest.mark.parametrize('kind', ['gateway', 'operators'])
def test_a_few_connections_use_bounded_memory(kind):
    check_growth(kind, 8)


@pytest.mark.parametrize('kind', ['gateway', 'operators'])
def test_memory_does_not_grow_with_the_connections(kind):
    check_growth(kind, 200)
