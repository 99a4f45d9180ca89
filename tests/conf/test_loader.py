"""Test that invalid settings are rejected."""

import json

import pytest

from cassiarail.conf.files import RejectedSettingsError
from cassiarail.conf.loader import load_settings
from cassiarail.conf.schema import GatewaySettings

VALID = {
    'name': 'gateway-1',
    'host': 'entry-1',
    'data_centre': 'bex',
    'callers': {'address': '127.0.0.1:8001'},
    'operators': {'address': '127.0.0.1:8002'},
    'controllers': [{'name': 'controller-1', 'address': '127.0.0.1:8003'}],
    'object_api': 'http://127.0.0.1:9000',
    'peer_secret_file': 'secret',
}


def _load(tmp_path, changes):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps({**VALID, **changes}))
    return load_settings(path, GatewaySettings)


def test_valid_settings_are_accepted(tmp_path):
    assert _load(tmp_path, {})['name'] == 'gateway-1'


@pytest.mark.parametrize(
    ('changes', 'check_id', 'path'),
    [
        ({'name': 3}, 'S001', '$.name'),
        ({'calers': {}}, 'S002', '$.calers'),
        ({'callers': {}}, 'S003', '$.callers.address'),
        ({'callers': {'address': 'localhost:1'}}, 'S010', '$.callers.address'),
        (
            {'callers': {'address': '1.1.1.1:99999'}},
            'S010',
            '$.callers.address',
        ),
        ({'drain_timeout_s': -1.0}, 'S011', '$.drain_timeout_s'),
        ({'name': ' '}, 'S012', '$.name'),
        (
            {'callers': {'address': '1.1.1.1:1', 'certificate_file': 'x'}},
            'S013',
            '$.callers',
        ),
        ({'object_api': 'ftp://x'}, 'S014', '$.object_api'),
        ({'telemetry': {'log_level': 'loud'}}, 'S015', '$.telemetry.log_level'),
        (
            {'operators': {'address': '127.0.0.1:8001'}},
            'S016',
            '$.operators.address',
        ),
        (
            {'telemetry': {'trace_sample_share': 2.0}},
            'S017',
            '$.telemetry.trace_sample_share',
        ),
    ],
)
def test_invalid_settings_are_rejected_with_id_and_path(
    tmp_path, changes, check_id, path
):
    with pytest.raises(RejectedSettingsError) as caught:
        _load(tmp_path, changes)
    found = [
        (problem.check_id, problem.path) for problem in caught.value.problems
    ]
    assert (check_id, path) in found


def test_all_problems_are_reported_at_once(tmp_path):
    with pytest.raises(RejectedSettingsError) as caught:
        _load(tmp_path, {'name': 3, 'calers': {}, 'host': None})
    assert len(caught.value.problems) == 3


@pytest.mark.parametrize(('text', 'check_id'), [('{', 'S005'), (None, 'S004')])
def test_unreadable_files_are_rejected(tmp_path, text, check_id):
    path = tmp_path / 'settings.json'
    if text is not None:
        path.write_text(text)
    with pytest.raises(RejectedSettingsError) as caught:
        load_settings(path, GatewaySettings)
    assert caught.value.problems[0].check_id == check_id
