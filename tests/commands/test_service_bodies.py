"""Test that clients outside our control don't end gateways and controllers.

They send many bodies at once, most of them short of their end, and leave the
connections open. Each test checks that the process lives, that its memory and
descriptors stay under a bound, and that ordinary requests are answered. Each
starts the process under test anew; the others go on.
"""

import asyncio

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection

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
from tests.commands.deployment import Deployment
from tests.soak.loopback import ADDRESS

LIMITS = {'limits': {'body_max_bytes': 4_194_304}}
BODIES = BodyLimits(legal=2_000_000, excessive=6_000_000)
GROWTH_BYTES = 12_000_000
# What a gateway may keep of its callers' bodies by default.
CALLERS_GROWTH_BYTES = 33_554_432 + GROWTH_BYTES
# Channels to the peers, to the store and to targets come and go.
SPARE_DESCRIPTORS = 16
TARGET_CONNECTIONS = CONNECTIONS
# Ends a test whose process hangs, also on a busy machine.
TIMEOUT_S = 60
MESSAGE_BYTES = 100_000_000
DATA_BYTES = 16_384
FRAMES = 400


@pytest.fixture(scope='module')
def deployment(tmp_path_factory):
    started = Deployment(tmp_path_factory.mktemp('deployment'), LIMITS)
    try:
        run_real(started.start)
        yield started
    finally:
        started.kill()


async def check_crowd(
    deployment, name, crowd, growth_bytes=GROWTH_BYTES, changes=None
):
    program = await deployment.restart(name, changes)
    memory = program.read_memory('VmHWM')
    descriptors = program.count_descriptors()
    allowed = SPARE_DESCRIPTORS + TARGET_CONNECTIONS
    async with crowd:
        async with asyncio.timeout(TIMEOUT_S):
            while not crowd.has_ended:
                await asyncio.sleep(0.05)
        await deployment.wait_until_served()
        spare = program.count_descriptors() - descriptors - CONNECTIONS
        growth = program.read_memory('VmHWM') - memory
    assert program.is_running
    assert growth <= growth_bytes
    assert spare <= allowed
    await deployment.wait_until_served()
    assert program.is_running
    assert program.count_descriptors() - descriptors <= allowed
    assert program.read_memory('VmHWM') - memory <= growth_bytes


def encode_head(path):
    return lambda _number: f'POST {path} HTTP/1.1\r\nHost: h\r\n'


shapes = pytest.mark.parametrize('shape', SHAPES, ids=lambda shape: shape.name)


@shapes
def test_bodies_at_a_gateway(deployment, shape):
    port = deployment.ports['gateway.callers']
    crowd = BodyCrowd(port, shape, BODIES, deployment.encode_head)
    run_real(check_crowd, deployment, 'gateway', crowd, CALLERS_GROWTH_BYTES)


@pytest.mark.parametrize(
    'shape', TINY_EXCESSIVE_SHAPES, ids=lambda shape: shape.name
)
def test_tiny_chunks_above_the_limit_at_a_gateway(deployment, shape):
    port = deployment.ports['gateway.callers']
    crowd = BodyCrowd(port, shape, BODIES, deployment.encode_head)
    lowered = {'limits': {'body_max_bytes': LOW_LIMIT_BYTES}}

    async def main():
        try:
            await check_crowd(
                deployment, 'gateway', crowd, CALLERS_GROWTH_BYTES, lowered
            )
        finally:
            await deployment.restart('gateway', LIMITS)

    run_real(main)


@pytest.mark.parametrize(
    'shape',
    [*SHAPES, *TINY_EXCESSIVE_SHAPES],
    ids=lambda shape: shape.name,
)
@pytest.mark.parametrize('name', ['gateway', 'controller'])
def test_bodies_at_the_operators_listener(deployment, name, shape):
    port = deployment.ports[f'{name}.operators']
    crowd = BodyCrowd(port, shape, BODIES, encode_head('/healthz'))
    run_real(check_crowd, deployment, name, crowd)


@pytest.mark.parametrize('is_kept', [True, False], ids=['kept', 'closed'])
@pytest.mark.parametrize('listener', ['gateway.callers', 'gateway.operators'])
def test_bodies_that_were_answered_leave_nothing(deployment, listener, is_kept):
    is_caller = listener == 'gateway.callers'
    encode = deployment.encode_head if is_caller else encode_head('/healthz')

    async def main():
        program = await deployment.restart('gateway')
        memory = program.read_memory('VmHWM')
        writers = []
        for _ in range(2):
            writers += await send_one_by_one(
                deployment.ports[listener], SHAPES[0], BODIES, encode
            )
            if not is_kept:
                for writer in writers:
                    writer.transport.abort()
        await deployment.wait_until_served()
        assert program.is_running
        allowed = CALLERS_GROWTH_BYTES if is_caller else GROWTH_BYTES
        assert program.read_memory('VmHWM') - memory <= allowed
        for writer in writers:
            writer.transport.abort()

    run_real(main)


class PeerCrowd:
    """Send gRPC messages that never end, each on a connection of its own.

    As many bytes are sent as the windows of the server allow.
    """

    def __init__(self, port, announced_bytes, frame_bytes, streams):
        self._port = port
        self._begin = b'\0' + announced_bytes.to_bytes(4)
        self._frame = b'x' * frame_bytes
        self._streams = streams
        self._tasks = []
        self._writers = []

    async def __aenter__(self):
        self._tasks = [
            asyncio.ensure_future(self._send()) for _ in range(CONNECTIONS)
        ]
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    @property
    def has_ended(self):
        """Return whether each connection has sent all, or was closed."""
        return all(task.done() for task in self._tasks)

    async def _send(self):
        client = H2Connection(H2Configuration(client_side=True))
        reader, writer = await asyncio.open_connection(ADDRESS, self._port)
        self._writers.append(writer)
        client.initiate_connection()
        streams = []
        for _ in range(self._streams):
            stream = client.get_next_available_stream_id()
            streams.append(stream)
            client.send_headers(stream, PEER_HEADERS)
            client.send_data(stream, self._begin)
        for _ in range(FRAMES):
            for stream in streams:
                window = client.local_flow_control_window(stream)
                if window >= len(self._frame):
                    client.send_data(stream, self._frame)
            writer.write(client.data_to_send())
            await writer.drain()
            try:
                async with asyncio.timeout(0.01):
                    received = await reader.read(65_536)
            except TimeoutError:
                continue
            except OSError:
                return
            if not received:
                return
            client.receive_data(received)


PEER_HEADERS = [
    (':method', 'POST'),
    (':scheme', 'http'),
    (':path', '/cassiarail.peers.Peers/Exchange'),
    (':authority', 'peer'),
    ('te', 'trailers'),
    ('content-type', 'application/grpc'),
]


@pytest.mark.parametrize(
    ('announced_bytes', 'frame_bytes', 'streams'),
    [
        pytest.param(MESSAGE_BYTES, DATA_BYTES, 1, id='excessive'),
        pytest.param(4_000_000, DATA_BYTES, 1, id='large-short'),
        pytest.param(4_000_000, 1, 1, id='tiny-short'),
        pytest.param(100_000, DATA_BYTES, 20, id='many-streams-short'),
    ],
)
def test_messages_at_the_peers_listener(
    deployment, announced_bytes, frame_bytes, streams
):
    port = deployment.ports['controller.peers']
    crowd = PeerCrowd(port, announced_bytes, frame_bytes, streams)
    run_real(check_crowd, deployment, 'controller', crowd)
