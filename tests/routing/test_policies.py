"""Guard against wrong choices of targets and lost affinity."""

import random

import pytest

from cassiarail.core.clock import ManualClock
from cassiarail.routing.backends.affinity import AffinityPolicy, rank_by_hash
from cassiarail.routing.backends.base import RequestNeed
from cassiarail.routing.backends.least_loaded import LeastLoadedPolicy
from cassiarail.routing.backends.random import RandomPolicy
from cassiarail.routing.backends.round_robin import RoundRobinPolicy
from cassiarail.routing.snapshot import (
    LoadReport,
    RoutingSnapshot,
    TargetKind,
    TargetState,
)
from cassiarail.routing.table import RoutingTable

NEED = RequestNeed('engines', 'fr')


def make_target(name, **fields):
    fields = {'instance': '1', 'models': frozenset(('fr', 'rw')), **fields}
    return TargetState(
        name, 'engines', TargetKind.ENGINE, 'bex', f'{name}:80', **fields
    )


def make_table(clock, *targets):
    table = RoutingTable(clock)
    table.update(RoutingSnapshot(1, targets))
    return table


def make_policies():
    generator = random.Random(3)
    return [
        RandomPolicy(generator),
        RoundRobinPolicy(),
        LeastLoadedPolicy(generator),
        AffinityPolicy(generator),
    ]


def names(table, need=NEED):
    return {state.name for state in table.find_candidates(need)}


@pytest.mark.parametrize('policy', make_policies(), ids=lambda p: p.name)
def test_no_policy_always_chooses_the_same_targets(policy):
    # Fails if a policy leaves an idle target unused.
    table = make_table(ManualClock(), *map(make_target, 'abcd'))
    chosen = set()
    for turn in range(200):
        need = NEED._replace(prefix=f'p{turn}')
        state = policy.choose(need, table.find_candidates(need), table)
        chosen.add(state.name)
    assert chosen == set('abcd')


def test_unusable_targets_are_never_candidates():
    clock = ManualClock()
    table = make_table(
        clock,
        make_target('a', leaving=True),
        make_target('b', models=frozenset(('rw',))),
        make_target('c', adapters=frozenset(('fr/letters',))),
        *map(make_target, 'defg'),
    )
    assert names(table) == set('cdefg')
    assert names(table, NEED._replace(adapter='letters')) == {'c'}
    assert names(table, NEED._replace(excluded=frozenset('cd'))) == set('efg')
    table.mark_leaving('d')
    for _ in range(5):
        table.outliers.record_failure('e')
    assert names(table) == set('cfg')


def test_leaving_mark_does_not_apply_to_the_next_instance():
    table = make_table(ManualClock(), make_target('a'), make_target('b'))
    table.mark_leaving('a')
    table.update(RoutingSnapshot(2, (make_target('a'), make_target('b'))))
    assert names(table) == {'b'}
    renewed = make_target('a', instance='2')
    table.update(RoutingSnapshot(3, (renewed, make_target('b'))))
    assert names(table) == {'a', 'b'}


def test_affinity_does_not_overload_the_preferred_targets():
    table = make_table(ManualClock(), *map(make_target, 'abcdef'))
    policy = AffinityPolicy(random.Random(1), imbalance_requests=4)
    need = NEED._replace(prefix='shared')
    preferred = rank_by_hash(need, table.find_candidates(need))[0].name
    counts = {}
    for turn in range(120):
        chosen = policy.choose(need, table.find_candidates(need), table).name
        assert turn > 4 or chosen == preferred
        table.start(chosen)
        counts[chosen] = table.count_in_flight(chosen)
    assert len(counts) == 6
    assert max(counts.values()) - min(counts.values()) <= 8


def test_estimate_corrects_a_lagging_report():
    # Fails if all gateways choose a target whose outdated report looks idle.
    clock = ManualClock()
    table = make_table(clock, make_target('a'))
    clock.advance(5)
    for _ in range(3):
        table.start('a')
    clock.advance(1)
    for _ in range(4):
        table.start('a')
    clock.advance(0.2)
    report = LoadReport(1, 8, 2, 16, 0, 1, clock.monotonic())
    table.update(RoutingSnapshot(2, (make_target('a', load=report),)))
    assert table.reported_load('a') == 10
    # Ten were reported, three of them own; the four sent since count twice.
    assert table.estimate_load('a') == 18
    table.finish('a')
    assert table.estimate_load('a') == 16


def test_a_new_target_does_not_receive_a_whole_burst():
    # A cold target reports no load and looks idle.
    clock = ManualClock()
    table = make_table(clock, make_target('a'))
    for _ in range(3):
        table.start('a')
    targets = (make_target('a'), make_target('b'))
    table.update(RoutingSnapshot(2, targets))
    assert table.estimate_load('b') > table.estimate_load('a')
    clock.advance(11)
    assert table.estimate_load('b') == 0


def test_ejection_spares_the_last_target_and_respects_the_limit():
    clock = ManualClock()
    only = make_target('a', models=frozenset(('only',)))
    table = make_table(clock, only, *map(make_target, 'bcdef'))
    for name in 'abcdef':
        for _ in range(20):
            table.outliers.record_failure(name)
    assert names(table, NEED._replace(model='only')) == {'a'}
    assert len(names(table)) == 3
    clock.advance(10)
    assert len(names(table)) == 5
    table.outliers.record_failure('d')
    assert len(names(table)) == 4


def test_ejected_target_is_reinstated_when_it_becomes_the_last():
    table = make_table(ManualClock(), *map(make_target, 'abc'))
    for _ in range(5):
        table.outliers.record_failure('a')
    assert names(table) == {'b', 'c'}
    leaving = [make_target(name, leaving=True) for name in 'bc']
    table.update(RoutingSnapshot(2, (make_target('a'), *leaving)))
    assert names(table) == {'a'}
