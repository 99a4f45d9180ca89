"""Test the failures that the in-process network produces."""

import anyio
import httpx
import pytest

from cassiarail.core.loops import run_virtual
from cassiarail.standins.network import MemoryTransport, Network

URL = 'http://10.0.0.1:80/'


async def _respond_slowly(scope, receive, send):
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    for _step in range(3):
        await anyio.sleep(1)
        await send(
            {'type': 'http.response.body', 'body': b'x', 'more_body': True},
        )
    await send({'type': 'http.response.body', 'body': b''})


def _run(scenario):
    async def main():
        async with anyio.create_task_group() as group:
            network = Network(group)
            network.listen('10.0.0.1:80', _respond_slowly)
            transport = MemoryTransport(network, 'client')
            client = httpx.AsyncClient(transport=transport, timeout=5)
            async with client:
                await scenario(network, client)
            group.cancel_scope.cancel()

    run_virtual(main)


def test_streamed_response_is_delivered_completely():
    async def scenario(network, client):
        response = await client.get(URL)
        assert response.content == b'xxx'
        assert (await client.get(URL)).content == b'xxx'

    _run(scenario)


def test_connection_is_refused_without_a_listener():
    async def scenario(network, client):
        network.kill('10.0.0.1:80')
        with pytest.raises(httpx.ConnectError):
            await client.get(URL)

    _run(scenario)


def test_open_responses_break_when_a_process_dies():
    async def scenario(network, client):
        async with client.stream('GET', URL) as response:
            network.kill('10.0.0.1:80')
            with pytest.raises(httpx.ReadError):
                await response.aread()

    _run(scenario)


def test_silent_connections_time_out_while_new_ones_work():
    """Only the read timeout detects a silent connection."""

    async def scenario(network, client):
        await client.get(URL)
        assert network.silence('10.0.0.1:80') == 1
        with pytest.raises(httpx.ReadTimeout):
            await client.get(URL)
        assert (await client.get(URL)).content == b'xxx'

    _run(scenario)


def test_connects_time_out_during_a_partition_and_work_afterwards():
    async def scenario(network, client):
        network.join_group('client', 'bex')
        network.join_group('10.0.0.1:80', 'riburg')
        network.block('bex', 'riburg')
        with pytest.raises(httpx.ConnectTimeout):
            await client.get(URL)
        network.heal()
        assert (await client.get(URL)).content == b'xxx'

    _run(scenario)
