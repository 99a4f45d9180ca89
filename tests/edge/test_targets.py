"""Guard which targets are used while the registry is away or forged."""

from cassiarail.core.clock import ManualClock
from cassiarail.edge.targets import (
    RETURN_PATIENCE_S,
    TOLD_LIFE_S,
    Holdings,
    ModelVariant,
    Target,
    TargetDirectory,
)
from cassiarail.http1.pool import Address

TARGET = Target('i', 1, 's', Address('10.0.0.1', 80), 'dc', 8)


def make(*targets):
    clock = ManualClock()
    directory = TargetDirectory(clock.monotonic)
    directory.replace_all(targets)
    return directory, clock


def hold(*models, count=0):
    return Holdings({name: frozenset() for name in models}, order_count=count)


def test_a_removed_target_is_gone_at_once():
    directory, _clock = make(TARGET)
    directory.remove('i')
    assert not directory.of_service('s')


def test_a_target_that_lapsed_in_an_outage_is_waited_for():
    directory, clock = make(TARGET)
    directory.begin_patience()
    directory.replace_all([])
    assert directory.of_service('s')
    clock.advance(RETURN_PATIENCE_S)
    assert directory.expire() == ['i']
    assert not directory.of_service('s')


def test_a_second_return_grants_no_second_patience():
    # A store that came and went kept removed targets in use without an end.
    directory, clock = make(TARGET)
    directory.begin_patience()
    directory.remove('i', 5)
    clock.advance(RETURN_PATIENCE_S - 0.1)
    directory.begin_patience()
    clock.advance(0.1)
    assert directory.expire() == ['i']
    assert not directory.of_service('s')


def test_a_target_that_returns_stays():
    directory, clock = make(TARGET)
    directory.begin_patience()
    directory.replace_all([])
    directory.put(TARGET)
    clock.advance(RETURN_PATIENCE_S)
    assert not directory.expire()
    assert directory.of_service('s')


def test_the_holder_tells_of_a_leaving_target():
    # One host's own watch may be late; a second path keeps the bound (DRAIN).
    directory, _clock = make(TARGET)
    directory.mark_leaving(('i', 2))
    assert directory.of_service('s')
    directory.mark_leaving(TARGET.identity)
    assert not directory.of_service('s')
    directory.put(TARGET)
    assert not directory.of_service('s')
    directory.put(TARGET._replace(born_ms=3))
    assert directory.of_service('s')


def test_a_leaving_target_is_not_waited_for():
    directory, _clock = make(TARGET._replace(is_leaving=True))
    directory.begin_patience()
    directory.replace_all([])
    assert not len(directory)


def test_the_holder_is_believed_before_an_older_entry():
    directory, _clock = make(TARGET._replace(holdings=hold('a')))
    directory.learn_holdings(TARGET.identity, hold('b', count=2))
    directory.put(TARGET._replace(holdings=hold('a')))
    (target,) = directory.of_service('s')
    assert set(target.holdings.models) == {'b'}


def test_an_earlier_word_of_the_holder_changes_nothing():
    directory, _clock = make(TARGET)
    directory.learn_holdings(TARGET.identity, hold('b', count=2))
    directory.learn_holdings(TARGET.identity, hold('a', count=1))
    assert set(directory.get('i').holdings.models) == {'b'}


def test_a_changed_entry_replaces_the_word_of_a_silent_holder():
    directory, clock = make(TARGET._replace(holdings=hold('a')))
    directory.learn_holdings(TARGET.identity, hold('b', count=2))
    clock.advance(TOLD_LIFE_S + 0.1)
    directory.put(TARGET._replace(holdings=hold('c')))
    assert set(directory.get('i').holdings.models) == {'c'}


def test_another_start_of_an_engine_holds_nothing_of_before():
    directory, _clock = make(TARGET)
    directory.learn_holdings(TARGET.identity, hold('b', count=2))
    directory.put(TARGET._replace(born_ms=2))
    assert not directory.get('i').holdings.models


def test_an_adapter_needs_its_model():
    held = Holdings({'m': frozenset(['a1'])})
    assert held.serves(None)
    assert held.serves(ModelVariant('m'))
    assert held.serves(ModelVariant('m', 'a1'))
    assert not held.serves(ModelVariant('m', 'a2'))
    assert not held.serves(ModelVariant('n', 'a1'))


def test_an_entry_whose_removal_came_first_is_not_taken():
    # A ledger that was sent again brought a target back that had left.
    directory, _clock = make()
    directory.drop('i', 7)
    directory.put(TARGET._replace(revision=6))
    assert directory.get('i') is None
    directory.put(TARGET._replace(revision=8))
    assert directory.get('i')


def test_older_news_of_an_entry_change_nothing():
    # Ledgers and the own watch may bring versions in any order.
    directory, _clock = make(TARGET._replace(revision=5))
    directory.put(TARGET._replace(revision=4, slots=1))
    assert directory.get('i').slots == TARGET.slots
    directory.remove('i', 3)
    assert directory.get('i')
    directory.drop('i', 7)
    directory.put(TARGET._replace(revision=6))
    assert directory.get('i') is None
    directory.put(TARGET._replace(revision=8))
    assert directory.get('i')
