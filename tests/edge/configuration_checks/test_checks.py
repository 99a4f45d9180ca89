"""Test that mistakes are found before a configuration is sent."""

import copy
import json

import pytest
from typer.testing import CliRunner

from cassiarail.commands.ctl import program
from cassiarail.edge.configuration_checks.checks import check_configuration
from cassiarail.platform.dialect import PlatformDialect

KEYS = ('asnmgkcuyj8pjbvk9m68', 'k7b2ex5wa5xwyhks8nbk')
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'chat',
            'host': 'h.example',
            'path_prefix': '/chat/',
            'kind': 'stream',
            'timeout_ms': 10_000,
            'goal_ms': 500,
            'priority': 0,
            'split': [
                {'service': 'llm', 'wt': 90},
                {'service': 'llm2', 'wt': 10},
            ],
            'attempts': 1,
            'gap_aim_ms': 200,
        },
        {
            'name': 'pay',
            'host': 'h.example',
            'path_prefix': '/pay/',
            'kind': 'non_idempotent',
            'timeout_ms': 800,
            'goal_ms': 150,
            'service': 'desk',
            'attempts': 1,
        },
    ],
    'services': [
        {
            'name': name,
            'max_conns': 600,
            'engine': {
                'slots': 12,
                'kv_tokens': 30_000,
                'weights_mb': 200_000,
                'adapter_slots': 8,
                'loads_per_s': 14,
                'models': [
                    {
                        'name': 'm',
                        'weights_mb': 70_000,
                        'load_s': 1.2,
                        'adapters': 3,
                        'adapter_mb': 12,
                    }
                ],
            },
        }
        for name in ('llm', 'llm2')
    ]
    + [{'name': 'desk', 'max_conns': 600}],
    'tenants': [
        {
            'name': name,
            'api_keys': [key],
            'unit': 'tokens',
            'plain_tokens': 200,
            'rate_per_s': 1000,
            'burst': 1000,
        }
        for name, key in zip(('a', 'b'), KEYS, strict=True)
    ],
}
BAD_INPUTS = [
    ('C001', ('version',), 'seven'),
    ('C001', ('routes', 0, 'kind'), 'unknown'),
    ('C010', ('routes', 1, 'name'), 'chat'),
    ('C011', ('routes', 1, 'path_prefix'), '/chat/'),
    ('C012', ('routes', 0, 'path_prefix'), '/chat'),
    ('C012', ('routes', 0, 'path_prefix'), 'chat/'),
    ('C013', ('routes', 0, 'path_prefix'), '/chat?x/'),
    ('C014', ('routes', 0, 'host'), 'h.example:80'),
    ('C014', ('routes', 0, 'host'), ''),
    ('C015', ('routes', 0, 'split'), [{'service': 'llm', 'wt': 0}]),
    ('C016', ('routes', 1, 'service'), 'desks'),
    ('C017', ('routes', 0, 'split', 1, 'wt'), 0),
    ('C018', ('routes', 0, 'timeout_ms'), 0),
    ('C019', ('routes', 1, 'timeout_ms'), 100),
    ('C020', ('routes', 1, 'gap_aim_ms'), 10),
    ('C021', ('routes', 0, 'gap_aim_ms'), 20_000),
    ('C022', ('routes', 0, 'attempts'), 0),
    ('C023', ('routes', 1, 'attempts'), 2),
    ('C024', ('routes', 1, 'can_resume'), True),
    ('C025', ('routes', 1, 'can_resume'), True),
    ('C030', ('routes', 1, 'service'), 'llm'),
    ('C031', ('services', 2, 'max_conns'), 0),
    ('C032', ('services', 0, 'max_conns'), 11),
    ('C033', ('services', 0, 'engine', 'slots'), 0),
    ('C034', ('services', 0, 'engine', 'kv_tokens'), 0),
    ('C035', ('services', 0, 'engine', 'loads_per_s'), 0),
    ('C036', ('services', 0, 'engine', 'weights_mb'), 60_000),
    ('C037', ('services', 0, 'engine', 'adapter_slots'), 0),
    ('C038', ('services', 0, 'engine', 'weights_mb'), 70_001),
    ('C040', ('tenants', 0, 'api_keys'), []),
    ('C041', ('tenants', 0, 'name'), ''),
    ('C042', ('tenants', 0, 'name'), 'b'),
    ('C043', ('tenants', 0, 'api_keys'), [KEYS[1]]),
    ('C044', ('tenants', 0, 'burst'), -1),
    ('C045', ('tenants', 0, 'rate_per_s'), 0),
    ('C046', ('tenants', 0, 'plain_tokens'), 5000),
    ('C050', ('limits',), {'max_body_bytes': 0}),
    ('C051', ('limits',), {'idle_ms': 100}),
]


def change(path, value):
    document = copy.deepcopy(CONFIGURATION)
    entry = document
    for key in path[:-1]:
        entry = entry[key]
    entry[path[-1]] = value
    return document


def run_check(tmp_path, document, *options):
    path = tmp_path / 'new.json'
    path.write_text(json.dumps(document))
    return CliRunner().invoke(
        program, ['check-configuration', str(path), *options]
    )


def test_a_correct_configuration_has_no_problem():
    found = PlatformDialect().decode_configuration(CONFIGURATION)
    assert check_configuration(found) == []


@pytest.mark.parametrize(('check_id', 'path', 'value'), BAD_INPUTS)
def test_a_mistake_is_found(tmp_path, check_id, path, value):
    outcome = run_check(tmp_path, change(path, value), '--json')
    problems = json.loads(outcome.stdout)['problems']
    assert check_id in {problem['check_id'] for problem in problems}
    has_error = any(each['severity'] == 'error' for each in problems)
    assert outcome.exit_code == (2 if has_error else 0)


def test_a_route_without_accounts_needs_no_exception_from_keys():
    document = change(('routes', 0, 'anon'), True)
    document['tenants'] = []
    found = PlatformDialect().decode_configuration(document)
    assert [each.check_id for each in check_configuration(found)] == ['C026']


def test_a_timeout_above_the_stop_time_is_named():
    found = PlatformDialect().decode_configuration(CONFIGURATION)
    (problem,) = check_configuration(found, stop_s=8)
    assert (problem.check_id, problem.path) == ('C060', '$.routes.chat.timeout')


def test_differences_to_the_version_in_force_hide_keys(tmp_path):
    in_force = tmp_path / 'in-force.json'
    in_force.write_text(json.dumps(CONFIGURATION))
    document = change(('tenants', 0, 'api_keys'), ['new-key'])
    outcome = run_check(tmp_path, document, '--in-force', str(in_force))
    assert outcome.exit_code == 2
    assert 'C061' in outcome.stdout
    assert '$.tenants.a.api_keys: ' in outcome.stdout
    assert 'new-key' not in outcome.stdout
    assert not any(key in outcome.stdout for key in KEYS)


def test_what_is_no_json_is_rejected(tmp_path):
    path = tmp_path / 'new.json'
    path.write_text('{')
    outcome = CliRunner().invoke(program, ['check-configuration', str(path)])
    assert outcome.exit_code == 2


def test_an_unreachable_store_is_reported(tmp_path):
    outcome = run_check(tmp_path, CONFIGURATION, '--store', '127.0.0.1:1')
    assert outcome.exit_code == 1
