"""Test the clients of the platform with outages and invalid responses."""

import random

import httpx
import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.core.loops import run_virtual
from cassiarail.inventory.exceptions import (
    PlatformError,
    WeightsMissingError,
    WeightStoreBusyError,
)
from cassiarail.inventory.hosts import HostDirectory, HostListClient, HostRole
from cassiarail.inventory.weights import WeightStoreClient

_HOSTS = [
    {
        'name': 'h1',
        'data_centre': 'bex',
        'address': '10.0.0.1',
        'role': 'entry',
        'state': 'live',
    },
    {
        'name': 'h2',
        'data_centre': 'riburg',
        'address': '10.0.1.1',
        'role': 'entry',
        'state': 'live',
    },
    {
        'name': 'e1',
        'data_centre': 'bex',
        'address': '10.0.0.9:8000',
        'role': 'target',
        'service': 'salzmodell',
        'state': 'leaving',
    },
]


def make_directory(responses):
    transport = httpx.MockTransport(lambda request: next(responses))
    client = HostListClient('http://hosts', transport)
    return HostDirectory(
        client, 'bex', 7001, ['10.0.0.5:7001'], ManualClock(), random.Random(1)
    )


@pytest.mark.parametrize(
    'invalid',
    [
        httpx.Response(503),
        httpx.Response(200, content=b'{'),
        httpx.Response(200, json={'hosts': [{'name': 'h1'}]}),
        httpx.Response(200, json={'hosts': [_HOSTS[0] | {'role': 'x'}]}),
    ],
)
def test_invalid_response_retains_the_last_host_list(invalid):
    """Guard against an outage of the host list removing all members."""
    valid = httpx.Response(200, json={'hosts': _HOSTS})
    directory = make_directory(iter([valid, invalid]))

    async def refresh_twice():
        await directory.refresh()
        await directory.refresh()

    run_virtual(refresh_twice)
    assert directory.list_peers() == ['10.0.0.5:7001', '10.0.0.1:7001']
    (target,) = directory.list_targets()
    assert target.role is HostRole.TARGET
    assert target.leaving


@pytest.mark.parametrize(
    ('response', 'expected'),
    [
        (httpx.Response(404), WeightsMissingError),
        (
            httpx.Response(429, headers={'retry-after': '2'}),
            WeightStoreBusyError,
        ),
        (httpx.Response(500), PlatformError),
    ],
)
def test_weight_store_errors_are_distinguished(response, expected):
    """Guard against retrying missing weights like a busy store."""
    transport = httpx.MockTransport(lambda request: response)
    client = WeightStoreClient('http://weights', transport)
    with pytest.raises(expected) as caught:
        run_virtual(client.describe, 'm', 'v1')
    if expected is WeightStoreBusyError:
        assert caught.value.retry_after_s == 2


def test_weights_are_described_without_their_body():
    """Guard against a check that fetches gigabytes."""
    response = httpx.Response(200, content=b'x' * 100)
    client = WeightStoreClient(
        'http://weights', httpx.MockTransport(lambda request: response)
    )
    assert run_virtual(client.describe, 'm', 'v1').bytes == 100
