"""Guard against orders that exceed the memory of an engine.

An engine that is ordered to load more than it holds crashes, and all its
streams are cut.
"""

from cassiarail.placement.fleet import (
    EngineState,
    Fleet,
    HeldSize,
    ModelDemand,
    ModelFacts,
    Step,
)
from cassiarail.placement.memory import MemoryAccount
from cassiarail.placement.ondemand import plan_steps

GB = 1_000_000_000
MB = 1_000_000
# Three of them leave 200 MB of an engine, enough for three adapters.
MODELS = {
    name: ModelFacts(name, 66_600 * MB, 9, 66 * MB, 4.0, 0.8, 0.6)
    for name in 'abc'
}


def make_engine(name, held, **changes):
    engine = EngineState(
        name,
        200 * GB,
        8,
        32,
        {model: frozenset(adapters) for model, adapters in held.items()},
    )
    return engine._replace(**changes)


def plan(engines, adapter_waiting, demand=None, models=None):
    if demand is None:
        demand = {name: ModelDemand(requests_per_s=1) for name in 'abc'}
    fleet = Fleet(
        tuple(engines), models or MODELS, demand, adapter_waiting, 5, 60.0
    )
    return [
        (step.engine, step.is_load, step.model, step.adapter)
        for step in plan_steps(fleet)
    ]


def test_no_adapter_is_loaded_beyond_the_memory_of_its_engine():
    # The fourth adapter crashed engines that the platform had filled.
    full = make_engine('x', {'a': ('a1', 'a2', 'a3'), 'b': (), 'c': ()})
    assert plan([full], {}) == []
    steps = plan([full], {('a', 'a4'): 1})
    assert [step[1] for step in steps] == [False]


def test_room_for_a_requested_adapter_is_made_by_the_longest_idle_one():
    idle_s = {('a', f'a{number}'): float(number) for number in range(1, 4)}
    full = make_engine(
        'x',
        {'a': ('a1', 'a2', 'a3'), 'b': (), 'c': ()},
        adapter_idle_s=idle_s,
    )
    assert plan([full], {('a', 'a4'): 1}) == [('x', False, 'a', 'a3')]


def test_a_model_is_evicted_if_its_engine_has_no_memory_for_any_adapter():
    # Otherwise the callers of the adapter wait until their deadline.
    models = {**MODELS, 'c': MODELS['c']._replace(weights_bytes=66_790 * MB)}
    idle = {'a': ModelDemand(requests_per_s=1), 'c': ModelDemand(idle_s=60)}
    full = make_engine('x', {'a': (), 'b': (), 'c': ()})
    steps = plan([full], {('a', 'a1'): 3}, idle, models)
    assert [(step[1], step[3]) for step in steps] == [(False, '')]
    assert steps[0][2] in {'b', 'c'}


def test_a_busy_model_is_not_evicted_for_an_adapter_that_few_wait_for():
    models = {**MODELS, 'c': MODELS['c']._replace(weights_bytes=66_790 * MB)}
    busy = {name: ModelDemand(requests_per_s=30) for name in 'abc'}
    full = make_engine('x', {'a': (), 'b': (), 'c': ()})
    assert plan([full], {('a', 'a1'): 1}, busy, models) == []


def test_an_engine_with_a_model_of_unknown_size_counts_as_full():
    # A model that the configuration no longer names still uses memory.
    engine = make_engine('x', {'removed': (), 'a': ()})
    account = MemoryAccount(MODELS)
    assert account.free_bytes(engine) == 0
    assert account.held_bytes(engine, 'removed') == 200 * GB - 66_600 * MB
    assert plan([engine], {('a', 'a1'): 1}) != [('x', True, 'a', 'a1')]


def test_a_copy_keeps_the_size_with_which_it_was_loaded():
    # A smaller size in a newer configuration frees no memory.
    engine = make_engine(
        'x', {'a': ()}, sizes={'a': HeldSize(199_950 * MB, 66 * MB)}
    )
    account = MemoryAccount(MODELS)
    assert account.free_bytes(engine) == 50 * MB
    load = Step('x', is_load=True, model='a', adapter='a1')
    assert not account.allows(engine, load)
