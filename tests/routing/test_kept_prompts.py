"""Guard against a wrong view of what targets hold of prompts."""

from cassiarail.routing.kept_prompts import KeptPrompts, list_beginnings

ONE = ('engine-1', 1)
SCOPE = ('m', '')


def prompt(*parts, scope=SCOPE, tokens=100):
    return list_beginnings(scope, parts, [tokens] * len(parts))


def test_the_common_beginning_is_found():
    # Fails if parts after a missing one count, or those of other targets.
    kept = KeptPrompts()
    kept.record(ONE, prompt('a', 'b', 'c'), 1000)
    assert kept.find(ONE, prompt('a', 'b', 'd')) == 200
    assert kept.find(ONE, prompt('x', 'b', 'c')) == 0
    assert kept.find(('engine-2', 1), prompt('a')) == 0


def test_a_part_counts_for_its_model_and_adapter_only():
    # Fails if what one model read is taken for what another one holds.
    kept = KeptPrompts()
    kept.record(ONE, prompt('a'), 1000)
    assert kept.find(ONE, prompt('a', scope=('m', 'a1'))) == 0
    assert kept.find(ONE, prompt('a', scope=('n', ''))) == 0


def test_the_least_recently_used_parts_are_forgotten():
    # Fails if the memory of a target is taken to be endless, or if the
    # beginning that prompts share is forgotten before their ends.
    kept = KeptPrompts()
    for end in ('b', 'c', 'd', 'e'):
        kept.record(ONE, prompt('a', end), 300)
    assert kept.find(ONE, prompt('a', 'e')) == 200
    assert kept.find(ONE, prompt('a', 'd')) == 200
    assert kept.find(ONE, prompt('a', 'b')) == 100


def test_nothing_is_kept_without_room():
    # Fails if a target that is full of running requests is taken to hold more.
    kept = KeptPrompts()
    kept.record(ONE, prompt('a'), 0)
    assert kept.find(ONE, prompt('a')) == 0


def test_a_restarted_target_holds_nothing():
    # Fails if a new incarnation inherits what the old one held.
    kept = KeptPrompts()
    kept.record(ONE, prompt('a'), 1000)
    assert kept.find(('engine-1', 2), prompt('a')) == 0
    kept.retain([('engine-1', 2)])
    assert kept.find(ONE, prompt('a')) == 0


def test_memory_is_bounded_though_parts_state_no_tokens():
    # Fails if one target's record grows with the number of prompts.
    kept = KeptPrompts()
    for number in range(3000):
        kept.record(ONE, prompt(str(number), tokens=0), 1000)
    assert len(kept._memories[ONE]._tokens_by_key) == 1024
