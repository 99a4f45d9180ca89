"""Test the decoding of valid and malformed platform documents."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cassiarail.edge.dialect import UnreadableDocumentError
from cassiarail.edge.registry.configuration import RouteKind
from cassiarail.platform.documents import (
    decode_configuration,
    decode_report,
    decode_target,
)

ENTRY = {
    'service': 's',
    'addr': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'seq': 7,
    'born': 5,
    'cold_left_ms': 0,
    'models': [{'name': 'm', 'version': 1, 'adapters': ['a1']}],
    'at_hand': {'in_memory': ['n'], 'on_disk': ['m', 'o']},
}
ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/p/',
    'kind': 'stream',
    'timeout_ms': 12000,
    'goal_ms': 500,
    'priority': 1,
    'split': [{'service': 's', 'wt': 90}, {'service': 't', 'wt': 10}],
    'attempts': 2,
    'sticky': True,
    'can_resume': True,
    'gap_aim_ms': 150,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 's',
            'max_conns': 230,
            'engine': {
                'slots': 32,
                'kv_tokens': 100,
                'weights_mb': 200000.0,
                'adapter_slots': 8,
                'loads_per_s': 1.9,
                'models': [
                    {'name': 'm', 'weights_mb': 65099.9, 'load_s': 3.8},
                ],
            },
        },
        {'name': 't', 'max_conns': 96},
    ],
    'limits': {'idle_ms': 9000, 'max_body_bytes': 10},
}


def test_an_entry_is_decoded_to_a_target():
    target = decode_target('i', ENTRY)
    assert (target.instance, target.born_ms, target.slots) == ('i', 5, 8)
    assert str(target.address) == '10.0.0.1:80'
    assert target.holdings.models == {'m': frozenset(['a1'])}
    assert target.holdings.on_disk == {'m', 'o'}
    assert not target.is_leaving


def test_heartbeats_of_an_entry_are_not_counted_as_orders():
    # Engines refused every order that expected the count of heartbeats.
    assert decode_target('i', ENTRY).holdings.order_count == 0
    report = {'models': [], 'seq': 4, 'busy': True, 'born': 5}
    born_ms, holdings, is_busy = decode_report(msgspec.json.encode(report))
    assert (born_ms, holdings.order_count, is_busy) == (5, 4, True)


def test_adapters_in_transit_count_as_held():
    # A new leader ordered more adapters than the engine has places for.
    report = {
        'models': [{'name': 'm', 'version': 1, 'adapters': ['a1']}],
        'seq': 3,
        'busy': False,
        'coming': ['m/a2@4', 'other/a1@1', 'invalid'],
    }
    _born_ms, holdings, _is_busy = decode_report(msgspec.json.encode(report))
    assert holdings.models == {'m': frozenset(('a1', 'a2'))}


@pytest.mark.parametrize(
    'change',
    [
        {'addr': 'nowhere'},
        {'addr': 5},
        {'state': 'sleeping'},
        {'slots': '8'},
        {'service': None},
        {'models': {'m': 1}},
        {'born': 'now'},
    ],
)
def test_an_entry_with_an_invalid_field_is_rejected(change):
    with pytest.raises(UnreadableDocumentError):
        decode_target('i', {**ENTRY, **change})


@pytest.mark.parametrize('name', ['service', 'addr', 'slots', 'state'])
def test_an_entry_with_a_missing_field_is_rejected(name):
    incomplete = {key: text for key, text in ENTRY.items() if key != name}
    with pytest.raises(UnreadableDocumentError):
        decode_target('i', incomplete)


documents = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


@given(
    st.dictionaries(st.sampled_from(sorted(ENTRY)), documents).map(
        lambda change: {**ENTRY, **change},
    )
    | documents,
)
def test_decoding_any_entry_raises_no_other_error(document):
    # Any other exception would stop the watch of all targets.
    try:
        decode_target('i', document)
    except UnreadableDocumentError:
        return


@given(documents | st.just(CONFIG))
def test_decoding_any_configuration_raises_no_other_error(document):
    try:
        decode_configuration(document)
    except UnreadableDocumentError:
        return


@given(st.binary())
def test_decoding_any_report_raises_no_other_error(body):
    try:
        decode_report(body)
    except UnreadableDocumentError:
        return


def test_a_configuration_is_decoded_to_routes_and_services():
    found = decode_configuration(CONFIG)
    (route,) = found.routes
    assert route.kind is RouteKind.STREAM
    assert (route.timeout_s, route.objective_s, route.pause_s) == (
        12,
        0.5,
        0.15,
    )
    assert route.may_repeat
    picked_services = {route.pick_service(str(number)) for number in range(200)}
    assert picked_services == {'s', 't'}
    engine = found.services['s'].engine
    assert engine.models['m'].disk_load_s == 3.8
    assert engine.weights_bytes == 200_000_000_000
    assert found.services['t'].engine is None
    assert (found.limits.idle_s, found.limits.body_max_bytes) == (9, 10)


def test_a_stream_that_cannot_resume_is_not_retried():
    route = {**ROUTE, 'can_resume': False}
    found = decode_configuration({**CONFIG, 'routes': [route]})
    assert not found.routes[0].may_repeat
