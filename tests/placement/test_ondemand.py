"""Guard against swap plans that thrash or exceed engine memory."""

from hypothesis import given
from hypothesis import strategies as st

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    ModelDemand,
    ModelFacts,
)
from cassiarail.placement.ondemand import plan_steps

GB = 1_000_000_000
MODELS = {
    name: ModelFacts(name, size * GB, 0, GB // 100, 4.0, 0.8, 0.6)
    for name, size in [('a', 65), ('b', 72), ('c', 72), ('d', 42), ('e', 42)]
}
IDLE = ModelDemand(idle_s=60)


def make_engine(name, held, **changes):
    engine = EngineState(
        name,
        200 * GB,
        8,
        32,
        {model: frozenset() for model in held},
    )
    return engine._replace(**changes)


def make_fleet(engines, demand, **changes):
    fleet = Fleet(tuple(engines), MODELS, demand, {}, 5, 60.0)
    return fleet._replace(**changes)


def models_only(steps):
    return [step for step in steps if not step.adapter]


def test_a_missing_model_is_loaded_into_free_memory():
    engines = [make_engine('x', 'ab')]
    demand = {'d': ModelDemand(waiting=1), 'a': IDLE, 'b': IDLE}
    steps = models_only(plan_steps(make_fleet(engines, demand)))
    assert [(each.is_load, each.model) for each in steps] == [(True, 'd')]


def test_an_unrequested_model_is_evicted_for_a_requested_one():
    engines = [make_engine('x', 'ab')]
    demand = {
        'c': ModelDemand(waiting=1),
        'a': ModelDemand(requests_per_s=5),
        'b': IDLE,
    }
    steps = models_only(plan_steps(make_fleet(engines, demand)))
    assert [(each.is_load, each.model, each.intended) for each in steps] == [
        (False, 'b', 'c'),
    ]


def test_a_pending_swap_is_not_started_on_another_engine():
    # Each plan evicted a model from another engine until all had lost one.
    engines = [
        make_engine('x', 'a', intended='c', is_busy=True),
        make_engine('y', 'ab'),
    ]
    demand = {'c': ModelDemand(waiting=1), 'b': IDLE}
    steps = models_only(plan_steps(make_fleet(engines, demand)))
    assert all(each.is_load and each.model != 'c' for each in steps)


def test_one_plan_does_not_unload_all_copies_of_a_model():
    # Three engines unloaded the busiest model in one plan.
    engines = [make_engine(name, 'ab') for name in 'xyz']
    demand = {
        'a': ModelDemand(requests_per_s=30, in_flight=2),
        'b': ModelDemand(requests_per_s=30, in_flight=2),
        'c': ModelDemand(waiting=9, requests_per_s=30),
        'd': ModelDemand(requests_per_s=9, waiting=9),
        'e': ModelDemand(requests_per_s=9, waiting=9),
    }
    steps = models_only(plan_steps(make_fleet(engines, demand)))
    for model in 'ab':
        unloaded = sum(
            not each.is_load for each in steps if each.model == model
        )
        assert unloaded < 3


def test_local_weights_are_preferred_to_the_store():
    engines = [
        make_engine('x', 'ab'),
        make_engine('y', 'ab', on_disk=frozenset('d')),
    ]
    demand = {'d': ModelDemand(waiting=1)}
    steps = models_only(plan_steps(make_fleet(engines, demand)))
    assert [(each.engine, each.is_store_load) for each in steps] == [
        ('y', False),
    ]


def test_a_short_wait_for_local_weights_is_preferred_to_a_store_load():
    engines = [
        make_engine('x', 'ab'),
        make_engine(
            'y',
            'ab',
            on_disk=frozenset('d'),
            is_busy=True,
            free_in_s=0.3,
        ),
    ]
    demand = {'d': ModelDemand(waiting=1)}
    assert not models_only(plan_steps(make_fleet(engines, demand)))


def test_store_loads_respect_the_rate_limit():
    engines = [make_engine(name, '') for name in 'xyz']
    demand = {name: ModelDemand(waiting=1) for name in 'abc'}
    steps = plan_steps(make_fleet(engines, demand, store_loads=2))
    assert sum(each.is_store_load for each in steps) == 2


def test_a_requested_adapter_replaces_the_longest_idle_one():
    held = {'a': frozenset(f'a{number}' for number in range(1, 9))}
    idle = {('a', f'a{number}'): float(number) for number in range(1, 9)}
    engine = make_engine('x', '')._replace(held=held, adapter_idle_s=idle)
    fleet = make_fleet([engine], {}, adapter_waiting={('a', 'a9'): 1})
    (step,) = plan_steps(fleet)
    assert (step.is_load, step.adapter) == (False, 'a8')


def test_no_adapter_order_is_sent_to_a_busy_engine():
    # Engines refuse every order while they load a model.
    engine = make_engine('x', 'a', is_busy=True)
    fleet = make_fleet([engine], {}, adapter_waiting={('a', 'a1'): 1})
    assert not plan_steps(fleet)


def test_adapters_of_busy_models_are_preloaded():
    # A request for a missing adapter is late if its engine is loading weights.
    models = {'a': MODELS['a']._replace(adapter_count=2)}
    engine = make_engine('x', 'a')
    fleet = make_fleet([engine], {'a': ModelDemand(requests_per_s=1)})
    (step,) = plan_steps(fleet._replace(models=models))
    assert (step.is_load, step.adapter) == (True, 'a1')


names = st.sampled_from('abcde')
engines = st.builds(
    lambda held, busy, disk, places: make_engine(
        'x',
        held,
        is_busy=busy,
        on_disk=frozenset(disk),
        adapter_slots=places,
    ),
    st.sets(names, max_size=3).filter(
        lambda held: (
            sum(MODELS[each].weights_bytes for each in held) < 199 * GB
        ),
    ),
    st.booleans(),
    st.sets(names),
    st.integers(0, 8),
)
demands = st.dictionaries(
    names,
    st.builds(
        ModelDemand,
        st.floats(0, 50),
        st.integers(0, 60),
        st.integers(0, 40),
        st.floats(0, 60),
        st.floats(0, 9),
        st.floats(0, 5),
    ),
)


@given(
    st.lists(engines, min_size=1, max_size=4),
    demands,
    st.integers(0, 5),
    st.floats(0, 12),
)
def test_no_order_exceeds_engine_memory(states, demand, store_loads, lead_s):
    # An engine crashes on an order that exceeds its memory (LIMIT).
    states = [
        state._replace(name=f'e{number}') for number, state in enumerate(states)
    ]
    adapter_waiting = {(name, 'a1'): 1 for name in demand}
    fleet = make_fleet(
        states,
        demand,
        store_loads=store_loads,
        adapter_waiting=adapter_waiting,
        lead_s=lead_s,
        initial_copies={name: 1 for state in states for name in state.held},
    )
    steps = plan_steps(fleet)
    assert len({step.engine for step in steps}) == len(steps)
    for step in steps:
        state = next(each for each in states if each.name == step.engine)
        assert not state.is_busy
        adapters = sum(len(each) for each in state.held.values())
        if step.adapter:
            assert step.model in state.held
            assert not step.is_load or adapters < state.adapter_slots
        elif step.is_load:
            used = sum(MODELS[name].weights_bytes for name in state.held)
            used += MODELS[step.model].weights_bytes
            used += adapters * GB // 100
            assert used <= state.capacity_bytes


RARE = ModelDemand(waiting=2, requests_per_s=0.5, objective_s=3)
BUSY = ModelDemand(requests_per_s=20, in_flight=8, objective_s=0.5)


def test_a_deferrable_model_never_evicts_the_last_copy_of_a_busy_one():
    # Busy models were unloaded for rare ones and reloaded from the store.
    engines = [make_engine('x', 'ab')]
    demand = {'a': BUSY, 'b': BUSY, 'c': RARE}
    assert not models_only(plan_steps(make_fleet(engines, demand)))


def test_a_plan_does_not_wait_for_an_engine_with_a_long_drain():
    # A model with 17 requests per second was missing for 20 s while its plan
    # waited for an engine with a slow unload.
    engines = [
        make_engine('x', '', is_busy=True, free_in_s=6),
        make_engine('y', 'a'),
    ]
    demand = {'b': ModelDemand(waiting=9, requests_per_s=17, objective_s=0.5)}
    (step,) = models_only(plan_steps(make_fleet(engines, demand)))
    assert (step.engine, step.model) == ('y', 'b')


def test_models_swapped_in_turn_stay_on_the_disks_that_have_them():
    # Rotating them over all engines displaced other weights from all disks.
    engines = [
        make_engine('x', ''),
        make_engine('y', 'ab', on_disk=frozenset('d'), is_busy=True),
    ]
    demand = {'d': RARE, 'a': BUSY}
    assert not models_only(plan_steps(make_fleet(engines, demand)))


def test_deferrable_models_leave_engines_free_for_the_others():
    engines = [
        make_engine('x', 'a', loading='d', is_busy=True, free_in_s=4),
        make_engine('y', 'a'),
        make_engine('z', 'b'),
    ]
    demand = {'d': RARE, 'e': RARE, 'a': BUSY, 'b': BUSY}
    assert not models_only(plan_steps(make_fleet(engines, demand)))


def test_weights_are_preloaded_into_free_memory_before_traffic():
    engines = [make_engine('x', 'ab'), make_engine('y', 'ac')]
    fleet = make_fleet(engines, {}, initial_copies={'a': 2, 'b': 1, 'c': 1})
    steps = models_only(plan_steps(fleet))
    assert {(step.is_load, step.model) for step in steps} == {
        (True, 'd'),
        (True, 'e'),
    }


def test_a_model_evicted_for_preloading_can_reload_before_traffic():
    # Traffic began while the models that it requested were swapped out.
    engine = make_engine('x', 'bc', on_disk=frozenset('de'))
    initial_copies = {'b': 1, 'c': 1}
    early = make_fleet([engine], {}, initial_copies=initial_copies, lead_s=9)
    late = make_fleet([engine], {}, initial_copies=initial_copies, lead_s=3)
    assert [step.intended for step in plan_steps(early)] == ['a']
    assert not plan_steps(late)


def test_preloading_evicts_nothing_once_there_is_traffic():
    engine = make_engine('x', 'bc')
    fleet = make_fleet([engine], {'b': BUSY, 'c': IDLE}, lead_s=9)
    assert all(step.is_load for step in plan_steps(fleet))


def test_no_copy_is_added_where_it_brings_no_relief():
    # Under overload, copies of busy models displaced rare ones.
    overloaded = ModelDemand(requests_per_s=30, in_flight=60, objective_s=0.5)
    rare = ModelDemand(requests_per_s=0.5, idle_s=1, objective_s=3)
    engines = [make_engine('x', 'a'), make_engine('y', 'bc')]
    demand = {'a': overloaded, 'b': overloaded, 'c': rare}
    steps = models_only(plan_steps(make_fleet(engines, demand)))
    assert all(each.is_load and each.model in 'de' for each in steps)


def test_a_model_on_an_overloaded_engine_gets_a_copy_elsewhere():
    busy = ModelDemand(requests_per_s=30, in_flight=30, objective_s=0.5)
    engines = [make_engine('x', 'a'), make_engine('y', 'b')]
    steps = models_only(plan_steps(make_fleet(engines, {'a': busy})))
    assert [each.engine for each in steps if each.model == 'a'] == ['y']


def test_a_fast_weight_store_serves_models_swapped_in_turn():
    # Models waited for the one engine with local weights although a store load
    # took little longer.
    quick = {
        name: facts._replace(store_load_s=1.2, disk_load_s=0.8)
        for name, facts in MODELS.items()
    }
    engines = [
        make_engine('x', ''),
        make_engine(
            'y',
            'ab',
            on_disk=frozenset('d'),
            is_busy=True,
            free_in_s=4,
        ),
    ]
    fleet = make_fleet(engines, {'d': RARE, 'a': BUSY})._replace(models=quick)
    (step,) = models_only(plan_steps(fleet))
    assert (step.engine, step.is_store_load) == ('x', True)


def test_pending_swaps_respect_the_store_rate_limit():
    # The rate allowed a load when memory was freed, but other loads had started
    # by the time of this one (CEILING).
    engines = [make_engine(name, '', intended='c') for name in 'xyz']
    fleet = make_fleet(engines, {'c': BUSY}, store_loads=1)
    loads = [step for step in plan_steps(fleet) if step.is_store_load]
    assert len(loads) == 1


def test_queues_at_engines_do_not_keep_a_requested_model_out():
    # Queued requests counted as ever longer runs, which an eviction waits for.
    engines = [make_engine('x', 'ab')]
    busy = ModelDemand(in_flight=16, objective_s=0.5)
    demand = {
        'a': busy,
        'b': busy,
        'c': ModelDemand(waiting=30, objective_s=0.5),
    }
    steps = models_only(plan_steps(make_fleet(engines, demand)))
    assert [each.intended for each in steps] == ['c']


def list_displaced(held, demand):
    """Return what a copy of the busy model a displaces on another engine."""
    engines = [
        make_engine(name, models, capacity_bytes=220 * GB, slots=12)
        for name, models in (('x', 'abc'), ('y', held))
    ]
    busy = ModelDemand(requests_per_s=9, in_flight=4, objective_s=0.5)
    busy_demand = {
        'a': busy._replace(requests_per_s=20, in_flight=14),
        **dict.fromkeys('bc', busy),
    }
    fleet = make_fleet(engines, busy_demand | demand)
    return {each.model for each in plan_steps(fleet) if each.intended == 'a'}


TAKES_TURNS = ModelDemand(requests_per_s=0.2, idle_s=2, objective_s=2.5)


def test_a_copy_leaves_a_place_for_models_that_take_turns():
    # Rare models waited for 5 s: busy ones filled all engines that had them.
    assert list_displaced('bcd', {'d': TAKES_TURNS}) == set()


def test_a_copy_displaces_one_of_two_models_that_take_turns():
    demand = dict.fromkeys('de', TAKES_TURNS)
    assert len(list_displaced('bde', demand)) == 1


def test_a_copy_takes_any_place_where_no_model_takes_turns():
    assert list_displaced('bcd', {'d': IDLE._replace(objective_s=0.5)}) == {'d'}
