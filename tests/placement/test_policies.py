"""Guard against plans that overcommit memory or leave a model unplaced."""

import pathlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiarail.declarations.loader import load_folder
from cassiarail.placement.backends.base import (
    HoldingKey,
    ModelNeed,
    MoveKind,
    PlacementInput,
    TargetCapacity,
)
from cassiarail.placement.backends.greedy import GreedyPolicy
from cassiarail.placement.backends.local import LocalPolicy
from cassiarail.placement.backends.priced import PricedPolicy
from cassiarail.placement.backends.static import StaticPolicy
from cassiarail.placement.demand import Forecast
from cassiarail.placement.homes import assign_homes, size_bundle
from cassiarail.placement.measure import read_placement_input
from cassiarail.placement.needs import build_need, list_capacities
from cassiarail.placement.simulation import run_policy

POLICIES = [StaticPolicy(), GreedyPolicy(), PricedPolicy()]
EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def _need(number, size, demand, **extra):
    return ModelNeed(
        key=HoldingKey(f'm{number}', '1'),
        service='engine',
        bytes=size,
        kv_reserve_bytes=1,
        demand=demand,
        variance=0,
        adapters={'a': 1},
        **extra,
    )


def _target(number, memory, held=(), **extra):
    return TargetCapacity(
        f't{number}',
        'engine',
        'bex',
        memory,
        8,
        frozenset(held),
        **extra,
    )


@st.composite
def placement_inputs(draw):
    needs = [
        _need(number, draw(st.integers(1, 20)), draw(st.floats(0, 40)))
        for number in range(draw(st.integers(1, 12)))
    ]
    targets = []
    for number in range(draw(st.integers(1, 6))):
        memory = draw(st.integers(0, 60))
        held, used = [], 0
        for need in needs:
            if draw(st.booleans()) and used + size_bundle(need) <= memory:
                held.append(need.key)
                used += size_bundle(need)
        targets.append(
            _target(number, memory, held, leaving=draw(st.booleans()))
        )
    price = draw(st.floats(0, 5))
    return PlacementInput(tuple(needs), tuple(targets), price)


@pytest.mark.parametrize('policy', POLICIES, ids=lambda each: each.name)
@settings(max_examples=150)
@given(placement_input=placement_inputs())
def test_plans_fit_in_memory_and_keep_every_model(policy, placement_input):
    """No plan may exceed a target's memory or drop a model's last replica."""
    plan = policy.plan(placement_input)
    needs = {need.key.model: need for need in placement_input.models}
    placed = set()
    for target in placement_input.targets:
        models = {key.model for key in plan.holdings[target.name]}
        placed |= models
        used = sum(size_bundle(needs[model]) for model in models)
        assert used <= target.memory_bytes
        assert not (target.leaving and models)
    assert placed | set(plan.unplaced) == set(needs)
    for model in plan.unplaced:
        if policy.name != 'greedy':
            assert not any(
                need.key in target.held
                for need in placement_input.models
                if need.key.model == model
                for target in placement_input.targets
                if not target.leaving
            )


def test_demand_without_overload_causes_no_moves():
    need = _need(1, 10, 2)
    targets = [_target(1, 50, [need.key]), _target(2, 50)]
    held = need.key._replace(adapter='a')
    targets[0] = targets[0]._replace(held=frozenset({need.key, held}))
    plan = PricedPolicy().plan(PlacementInput((need,), tuple(targets), 0.2))
    assert plan.moves == ()


def test_a_replica_is_added_only_if_the_gain_exceeds_the_move_price():
    need = _need(1, 10, 8)
    targets = (_target(1, 50, [need.key]), _target(2, 50))
    cheap = PricedPolicy().plan(PlacementInput((need,), targets, 0.2))
    assert any(move.kind is MoveKind.LOAD_MODEL for move in cheap.moves)
    dear = PricedPolicy().plan(PlacementInput((need,), targets, 5))
    assert not any(move.kind is MoveKind.LOAD_MODEL for move in dear.moves)


def test_a_leaving_target_unloads_only_after_its_replacement_loads():
    """The unload must name the load that it waits for."""
    need = _need(1, 10, 1)
    targets = (_target(1, 50, [need.key], leaving=True), _target(2, 50))
    plan = PricedPolicy().plan(PlacementInput((need,), targets, 0.2))
    unload = next(m for m in plan.moves if m.kind is MoveKind.UNLOAD_MODEL)
    assert unload.after == (need.key,)
    assert need.key in plan.holdings['t2']


def test_a_new_version_is_loaded_before_the_old_one_is_unloaded():
    need = _need(1, 10, 1)
    old = need.key._replace(version='0')
    targets = (_target(1, 15, [old]), _target(2, 50))
    plan = PricedPolicy().plan(PlacementInput((need,), targets, 0.2))
    assert need.key in plan.holdings['t2']
    unload = next(m for m in plan.moves if m.kind is MoveKind.UNLOAD_MODEL)
    assert (unload.key, unload.after) == (old, (need.key,))


def test_placement_respects_pinned_and_forbidden_targets():
    pinned = _need(1, 10, 30, pinned_targets=frozenset({'t2'}))
    forbidden = _need(2, 10, 30, forbidden_targets=frozenset({'t2'}))
    targets = (_target(1, 50), _target(2, 50), _target(3, 50))
    plan = PricedPolicy().plan(PlacementInput((pinned, forbidden), targets, 0))
    targets_by_key = {
        need.key: {n for n, keys in plan.holdings.items() if need.key in keys}
        for need in (pinned, forbidden)
    }
    assert targets_by_key[pinned.key] == {'t2'}
    assert 't2' not in targets_by_key[forbidden.key]
    assert targets_by_key[forbidden.key]


def test_a_model_that_does_not_fit_is_reported_as_unplaced():
    plan = PricedPolicy().plan(
        PlacementInput((_need(1, 100, 1),), (_target(1, 50),), 0),
    )
    assert 'm1' in plan.unplaced


@pytest.mark.parametrize('name', ['salines', 'ingobyi'])
def test_every_model_gets_a_home_before_any_gets_a_second(name):
    placement_input = read_placement_input(EXAMPLES / name)
    homes = assign_homes(placement_input.models, placement_input.targets)
    assert homes.unplaced == {}
    assert all(homes.by_model.values())


def test_partitioned_data_centres_agree_on_homes():
    """Each must plan exactly the models whose home it is, without contact."""
    declarations, _ = load_folder(EXAMPLES / 'salines')
    needs = tuple(
        build_need(declarations, model, Forecast(1, 0))
        for model in declarations['models']
    )
    placed = set()
    for data_centre in declarations['fleet']['data_centres']:
        local_targets = [
            target
            for target in list_capacities(declarations)
            if target.data_centre == data_centre
        ]
        policy = LocalPolicy(PricedPolicy(), data_centre, lambda: declarations)
        plan = policy.plan(PlacementInput(needs, tuple(local_targets), 0.2))
        assert plan.unplaced == {}
        placed |= {key.model for keys in plan.holdings.values() for key in keys}
    assert placed == {model['name'] for model in declarations['models']}


@pytest.mark.parametrize('policy', POLICIES, ids=lambda each: each.name)
def test_no_model_becomes_unreachable_in_an_hour_of_bursts(policy):
    placement_input = read_placement_input(EXAMPLES / 'ingobyi')
    score = run_policy(
        policy,
        placement_input,
        seed=1,
        total_demand=90,
        steps=360,
        loads_per_second=2,
    )
    assert score.unreachable == 0
    assert 0 < score.attainment <= 1
