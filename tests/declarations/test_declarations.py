"""Test the checks, the resolution and the comparison of declarations."""

import copy
import pathlib

import pytest

from cassiarail.declarations.differences import compare_declarations
from cassiarail.declarations.loader import (
    RejectedDeclarationsError,
    load_folder,
    validate_declarations,
)
from cassiarail.declarations.resolve import resolve_origins, resolve_policy

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


@pytest.fixture(name='declarations')
def load_salines_example():
    return load_folder(EXAMPLES / 'salines')[0]


@pytest.mark.parametrize('name', ['salines', 'ingobyi'])
def test_examples_are_valid(name):
    declarations, warnings = load_folder(EXAMPLES / name)
    assert warnings == []
    assert len(declarations['exceptions']) >= 2


def _first(declarations, key):
    return declarations[key][0]


INVALID_CHANGES = {
    'D010': lambda document: document['models'].append(document['models'][0]),
    'D011': lambda document: document['models'][0].update(service='none'),
    'D012': lambda document: document['services'][0]['targets'][0].update(
        data_centre='basel',
    ),
    'D013': lambda document: document['services'][0]['targets'][0].update(
        address='x'
    ),
    'D014': lambda document: document['exceptions'][0].update(reason='  '),
    'D015': lambda document: document['exceptions'][0].update(
        match={'model': 'none'}
    ),
    'D016': lambda document: document['exceptions'].append(
        {**document['exceptions'][0], 'name': 'again'},
    ),
    'D017': lambda document: document['fleet']['defaults'].update(
        timeout_s=0.0
    ),
    'D018': lambda document: document['exceptions'][0]['set'].update(
        pinned_targets=['none'],
    ),
    'D019': lambda document: document['models'][0].update(bytes=10**12),
    'D020': lambda document: document['exceptions'][0]['set'].update(
        replicas_min=9,
        replicas_max=2,
    ),
    'D021': lambda document: document['callers'][0].update(
        key_digests=['secret']
    ),
    'D022': lambda document: document['services'][0].update(kind='odd'),
    'D023': lambda document: document['callers'][0].update(models=['none']),
    'D024': lambda document: document['fleet']['defaults'].pop('timeout_s'),
    'D025': lambda document: document['fleet']['defaults'].update(
        data_centres_per_model=4,
    ),
    'D026': lambda document: document['models'][0].update(
        service='ernteregister'
    ),
    'D028': lambda document: document['exceptions'][0].update(match={}),
}


@pytest.mark.parametrize('check_id', INVALID_CHANGES)
def test_invalid_declarations_are_rejected_with_id(declarations, check_id):
    broken = copy.deepcopy(declarations)
    INVALID_CHANGES[check_id](broken)
    with pytest.raises(RejectedDeclarationsError) as caught:
        validate_declarations(broken)
    assert check_id in {problem.check_id for problem in caught.value.problems}


def test_memory_too_small_for_all_models_gives_a_warning(declarations):
    """The operator is warned before a plan has to leave models out."""
    declarations['fleet']['defaults']['kv_reserve_bytes'] = 2 * 10**10
    warnings = validate_declarations(declarations)
    assert [warning.check_id for warning in warnings] == ['D027']


def test_an_exception_overrides_the_default_and_shows_its_reason(declarations):
    policy = resolve_policy(declarations, {'model': 'audit'})
    assert policy['replicas_min'] == 2
    origin = resolve_origins(declarations, {'model': 'audit'})['replicas_min']
    assert origin.source == 'audit-two-replicas'
    assert origin.reason
    assert (
        resolve_policy(declarations, {'model': 'archiv'})['replicas_min'] == 1
    )


def test_a_changed_exception_affects_only_its_own_models(declarations):
    """A change of one exception must not be listed for all models."""
    after = copy.deepcopy(declarations)
    after['exceptions'][0]['set']['replicas_min'] = 3
    impact = compare_declarations(declarations, after)
    assert impact.models == ['audit']
    assert len(impact.targets) == 6
    assert impact.differences[0].after == 3
