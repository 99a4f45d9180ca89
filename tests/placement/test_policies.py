"""Guard against plans that overcommit memory or drop a model."""

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
from cassiarail.placement.measure import read_situation
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


def _room(number, memory, held=(), **extra):
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
def situations(draw):
    needs = [
        _need(number, draw(st.integers(1, 20)), draw(st.floats(0, 40)))
        for number in range(draw(st.integers(1, 12)))
    ]
    rooms = []
    for number in range(draw(st.integers(1, 6))):
        memory = draw(st.integers(0, 60))
        held, used = [], 0
        for need in needs:
            if draw(st.booleans()) and used + size_bundle(need) <= memory:
                held.append(need.key)
                used += size_bundle(need)
        rooms.append(_room(number, memory, held, leaving=draw(st.booleans())))
    price = draw(st.floats(0, 5))
    return PlacementInput(tuple(needs), tuple(rooms), price)


@pytest.mark.parametrize('policy', POLICIES, ids=lambda each: each.name)
@settings(max_examples=150)
@given(situation=situations())
def test_plans_fit_in_memory_and_keep_every_model(policy, situation):
    """A plan must never promise more than a target's memory, nor drop the
    last replica of a model that some target holds."""
    plan = policy.plan(situation)
    needs = {need.key.model: need for need in situation.models}
    placed = set()
    for room in situation.targets:
        models = {key.model for key in plan.holdings[room.name]}
        placed |= models
        used = sum(size_bundle(needs[model]) for model in models)
        assert used <= room.memory_bytes
        assert not (room.leaving and models)
    assert placed | set(plan.unplaced) == set(needs)
    for model in plan.unplaced:
        if policy.name != 'greedy':
            assert not any(
                need.key in room.held
                for need in situation.models
                if need.key.model == model
                for room in situation.targets
                if not room.leaving
            )


def test_keeps_what_is_held_while_demand_is_calm():
    """Demand that does not overload a target must not cause moves."""
    need = _need(1, 10, 2)
    rooms = [_room(1, 50, [need.key]), _room(2, 50)]
    held = need.key._replace(adapter='a')
    rooms[0] = rooms[0]._replace(held=frozenset({need.key, held}))
    plan = PricedPolicy().plan(PlacementInput((need,), tuple(rooms), 0.2))
    assert plan.moves == ()


def test_adds_a_replica_only_where_it_pays():
    """The declared price of a move must decide between the two users."""
    need = _need(1, 10, 8)
    rooms = (_room(1, 50, [need.key]), _room(2, 50))
    cheap = PricedPolicy().plan(PlacementInput((need,), rooms, 0.2))
    assert any(move.kind is MoveKind.LOAD_MODEL for move in cheap.moves)
    dear = PricedPolicy().plan(PlacementInput((need,), rooms, 5))
    assert not any(move.kind is MoveKind.LOAD_MODEL for move in dear.moves)


def test_replaces_a_leaving_target_before_unloading_it():
    """The unload must name the load it waits for."""
    need = _need(1, 10, 1)
    rooms = (_room(1, 50, [need.key], leaving=True), _room(2, 50))
    plan = PricedPolicy().plan(PlacementInput((need,), rooms, 0.2))
    unload = next(m for m in plan.moves if m.kind is MoveKind.UNLOAD_MODEL)
    assert unload.after == (need.key,)
    assert need.key in plan.holdings['t2']


def test_loads_a_new_version_before_the_old_one_goes():
    need = _need(1, 10, 1)
    old = need.key._replace(version='0')
    rooms = (_room(1, 15, [old]), _room(2, 50))
    plan = PricedPolicy().plan(PlacementInput((need,), rooms, 0.2))
    assert need.key in plan.holdings['t2']
    unload = next(m for m in plan.moves if m.kind is MoveKind.UNLOAD_MODEL)
    assert (unload.key, unload.after) == (old, (need.key,))


def test_exceptions_pin_and_forbid_targets():
    """Nothing may be placed against an exception."""
    pinned = _need(1, 10, 30, pinned_targets=frozenset({'t2'}))
    banned = _need(2, 10, 30, forbidden_targets=frozenset({'t2'}))
    rooms = (_room(1, 50), _room(2, 50), _room(3, 50))
    plan = PricedPolicy().plan(PlacementInput((pinned, banned), rooms, 0))
    where = {
        need.key: {n for n, keys in plan.holdings.items() if need.key in keys}
        for need in (pinned, banned)
    }
    assert where[pinned.key] == {'t2'}
    assert 't2' not in where[banned.key]
    assert where[banned.key]


def test_says_why_a_model_does_not_fit():
    plan = PricedPolicy().plan(
        PlacementInput((_need(1, 100, 1),), (_room(1, 50),), 0),
    )
    assert 'm1' in plan.unplaced


@pytest.mark.parametrize('name', ['salines', 'ingobyi'])
def test_every_model_gets_a_home_before_any_gets_two(name):
    situation = read_situation(EXAMPLES / name)
    homes = assign_homes(situation.models, situation.targets)
    assert homes.unplaced == {}
    assert all(homes.by_model.values())


def test_data_centres_agree_on_homes_without_asking():
    """Each data centre must plan exactly the models whose home it is, also
    while it reaches none of the others."""
    declarations, _ = load_folder(EXAMPLES / 'salines')
    needs = tuple(
        build_need(declarations, model, Forecast(1, 0))
        for model in declarations['models']
    )
    placed = set()
    for centre in declarations['fleet']['data_centres']:
        reached = [
            room
            for room in list_capacities(declarations)
            if room.data_centre == centre
        ]
        policy = LocalPolicy(PricedPolicy(), centre, lambda: declarations)
        plan = policy.plan(PlacementInput(needs, tuple(reached), 0.2))
        assert plan.unplaced == {}
        placed |= {key.model for keys in plan.holdings.values() for key in keys}
    assert placed == {model['name'] for model in declarations['models']}


@pytest.mark.parametrize('policy', POLICIES, ids=lambda each: each.name)
def test_no_model_becomes_unreachable_in_an_hour_of_bursts(policy):
    situation = read_situation(EXAMPLES / 'ingobyi')
    score = run_policy(
        policy,
        situation,
        seed=1,
        total_demand=90,
        steps=360,
        loads_per_second=2,
    )
    assert score.unreachable == 0
    assert 0 < score.attainment <= 1
