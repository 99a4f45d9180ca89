"""Test that clients outside our control don't end or hang an edge host.

They send many bodies at once, most of them short of their end, and leave the
connections open. Each test checks that the process lives, that its memory and
descriptors stay under a bound, and that ordinary requests are answered.
"""

import asyncio
import contextlib

import pytest

from cassiarail.core.loops import run_real
from tests.commands.bodies import (
    CONNECTIONS,
    LOW_LIMIT_BYTES,
    SHAPES,
    TINY_EXCESSIVE_SHAPES,
    BodyCrowd,
    BodyLimits,
    send_one_by_one,
)
from tests.commands.crowds import HostRun
from tests.soak.callers import HOST
from tests.soak.loopback import ADDRESS

SETTINGS = {
    'client_memory_bytes': 1_048_576,
    'response_memory_bytes': 1_048_576,
}
BODIES = BodyLimits(legal=1_000_000, excessive=3_000_000)
GROWTH_BYTES = 12_000_000
SPARE_DESCRIPTORS = 16
# Requests that are forwarded have a connection to a target each, which stays
# open for the next one.
TARGET_CONNECTIONS = CONNECTIONS
DATAGRAM_BYTES = 60_000
DESCRIPTORS = 400
IDLE_CONNECTIONS = 380
DATAGRAMS = 2000
# Ends a test whose host hangs, also on a busy machine.
ANSWER_TIMEOUT_S = 60
READ_BYTES = 65_536


class LimitedRun(HostRun):
    """Start one host whose configuration limits bodies, to 1 MiB at first."""

    def __init__(self, folder, body_max_bytes=1_048_576):
        super().__init__(folder, SETTINGS)
        self._limits = {'max_body_bytes': body_max_bytes}


def encode_head(path, number):
    return (
        f'POST {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Cassiarail-Request-Id: crowd{number}\r\n'
        'X-Cassiarail-Deadline-Ms: 3000\r\n'
    )


async def is_answered(port, path):
    """Return whether a listener answers one request completely."""
    request = f'GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    received = b''
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(ADDRESS, port)
        writer.write(request.encode())
        received = await reader.read(-1)
        writer.close()
    return received.startswith(b'HTTP/1.1 200 ')


async def wait_until_answered(run, port, path):
    """Send ordinary requests until each kind was answered once."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while not await run.send_ordinary():
            await asyncio.sleep(0.1)
        while not await is_answered(port, path):
            await asyncio.sleep(0.1)


async def wait_until_sent(crowd):
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while not crowd.has_ended:
            await asyncio.sleep(0.05)


async def check_crowd(run, crowd, port, path):
    host = run.host
    memory = host.read_memory('VmHWM')
    descriptors = host.count_descriptors()
    async with crowd:
        await wait_until_sent(crowd)
        await wait_until_answered(run, port, path)
        spare = host.count_descriptors() - descriptors - CONNECTIONS
        growth = host.read_memory('VmHWM') - memory
    assert host.is_running
    assert growth <= GROWTH_BYTES
    assert spare <= SPARE_DESCRIPTORS + TARGET_CONNECTIONS
    await wait_until_answered(run, port, path)
    assert host.is_running
    kept = host.count_descriptors() - descriptors
    assert kept <= SPARE_DESCRIPTORS + TARGET_CONNECTIONS
    assert host.read_memory('VmHWM') - memory <= GROWTH_BYTES


def find_entry(host):
    return host.port


def find_ready(host):
    return host.ready_port


def find_metrics(host):
    return host.metrics_port


def check_bodies(folder, shape, find_port, path, **limits):
    async def main():
        async with LimitedRun(folder, **limits) as run:
            crowd = BodyCrowd(
                find_port(run.host),
                shape,
                BODIES,
                lambda number: encode_head(path, number),
            )
            await check_crowd(run, crowd, run.host.ready_port, '/v1/readyz')

    run_real(main)


shapes = pytest.mark.parametrize('shape', SHAPES, ids=lambda shape: shape.name)


@shapes
def test_bodies_at_the_entry(tmp_path, shape):
    check_bodies(tmp_path, shape, find_entry, '/file/1')


@shapes
def test_bodies_at_the_readiness(tmp_path, shape):
    check_bodies(tmp_path, shape, find_ready, '/v1/readyz')


@shapes
def test_bodies_at_the_metrics(tmp_path, shape):
    check_bodies(tmp_path, shape, find_metrics, '/metrics')


@pytest.mark.parametrize(
    'shape', TINY_EXCESSIVE_SHAPES, ids=lambda shape: shape.name
)
def test_tiny_chunks_above_the_limit_at_the_entry(tmp_path, shape):
    check_bodies(
        tmp_path,
        shape,
        find_entry,
        '/file/1',
        body_max_bytes=LOW_LIMIT_BYTES,
    )


@pytest.mark.parametrize(
    ('find_port', 'path'),
    [(find_ready, '/v1/readyz'), (find_metrics, '/metrics')],
)
@pytest.mark.parametrize(
    'shape', TINY_EXCESSIVE_SHAPES, ids=lambda shape: shape.name
)
def test_tiny_chunks_above_the_limit_of_the_status(
    tmp_path, shape, find_port, path
):
    check_bodies(tmp_path, shape, find_port, path)


LISTENERS = (
    pytest.param(find_entry, '/file/1', id='entry'),
    pytest.param(find_ready, '/v1/readyz', id='readiness'),
    pytest.param(find_metrics, '/metrics', id='metrics'),
)


@pytest.mark.parametrize('is_kept', [True, False], ids=['kept', 'closed'])
@pytest.mark.parametrize(('find_port', 'path'), LISTENERS)
def test_bodies_that_were_answered_leave_nothing(
    tmp_path, find_port, path, is_kept
):
    async def main():
        async with LimitedRun(tmp_path) as run:
            host = run.host
            memory = host.read_memory('VmHWM')
            writers = []
            for _ in range(2):
                writers += await send_one_by_one(
                    find_port(host),
                    SHAPES[0],
                    BODIES,
                    lambda number: encode_head(path, number),
                )
                if not is_kept:
                    for writer in writers:
                        writer.transport.abort()
            await wait_until_answered(run, host.ready_port, '/v1/readyz')
            assert host.is_running
            assert host.read_memory('VmHWM') - memory <= GROWTH_BYTES
            for writer in writers:
                writer.transport.abort()

    run_real(main)


def test_connections_leave_descriptors_for_targets(tmp_path):
    async def main():
        settings = {**SETTINGS, 'descriptors': DESCRIPTORS}
        async with HostRun(tmp_path, settings) as run:
            writers = []
            for _ in range(IDLE_CONNECTIONS):
                with contextlib.suppress(OSError):
                    _reader, writer = await asyncio.open_connection(
                        ADDRESS, run.host.port
                    )
                    writers.append(writer)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not await run.send_ordinary():
                    await asyncio.sleep(0.1)
            assert run.host.is_running
            assert run.host.count_descriptors() <= DESCRIPTORS * 0.8
            for writer in writers:
                writer.transport.abort()

    run_real(main)


class DatagramCrowd:
    """Send datagrams to the peers' address, which has no connections."""

    def __init__(self, port, datagram):
        self._address = (ADDRESS, port)
        self._datagram = datagram
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.ensure_future(self._send())

    async def __aexit__(self, *_error):
        self._task.cancel()

    @property
    def has_ended(self):
        """Return whether all were sent."""
        return self._task.done()

    async def _send(self):
        loop = asyncio.get_running_loop()
        transport, _protocol = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(ADDRESS, 0)
        )
        for _ in range(DATAGRAMS):
            transport.sendto(self._datagram, self._address)
            await asyncio.sleep(0.001)
        transport.close()


@pytest.mark.parametrize(
    'datagram',
    [
        b'x' * DATAGRAM_BYTES,
        # An array that announces 2**31 items, and one of a message's begin.
        b'\xdd\x7f\xff\xff\xff' + b'\x00' * DATAGRAM_BYTES,
        b'[' * DATAGRAM_BYTES,
        b'',
    ],
    ids=['noise', 'long-array', 'nested', 'empty'],
)
def test_datagrams_at_the_peers_address(tmp_path, datagram):
    async def main():
        async with LimitedRun(tmp_path) as run:
            port = run.host._ports[3]
            crowd = DatagramCrowd(port, datagram)
            await check_crowd(run, crowd, run.host.ready_port, '/v1/readyz')

    run_real(main)
