"""Test which targets are used while the registry is unavailable or late."""

from cassiarail.core.clock import ManualClock
from cassiarail.edge.registry.restored import RESTORED_HOLD_S
from cassiarail.edge.registry.targets import (
    REPORTED_HOLDINGS_TTL_S,
    RETURN_GRACE_S,
    Holdings,
    ModelVariant,
    Target,
    TargetDirectory,
)
from cassiarail.http1.pool import Address
from cassiarail.store.eras import Version

TARGET = Target('i', 1, 's', Address('10.0.0.1', 80), 'dc', 8)


def make_directory(*targets):
    clock = ManualClock()
    directory = TargetDirectory(clock.monotonic)
    directory.replace_all(targets)
    return directory, clock


def make_holdings(*models, count=0):
    return Holdings({name: frozenset() for name in models}, order_count=count)


def test_a_removed_target_is_not_used_any_more():
    directory, _clock = make_directory(TARGET)
    directory.remove('i')
    assert not directory.of_service('s')


def test_a_target_that_expired_in_an_outage_is_retained():
    directory, clock = make_directory(TARGET)
    directory.begin_grace_period()
    directory.replace_all([])
    assert directory.of_service('s')
    clock.advance(RETURN_GRACE_S)
    assert directory.expire() == ['i']
    assert not directory.of_service('s')


def test_a_target_that_says_it_leaves_is_not_retained_after_an_outage():
    target = TARGET._replace(revision=5)
    directory, _clock = make_directory(target)
    directory.begin_grace_period()
    directory.replace_all([], 9)
    assert directory.of_service('s')
    directory.mark_leaving(target.identity)
    assert not directory.of_service('s')
    assert not directory.accepts_requests(target)


def test_a_second_return_grants_no_second_grace_period():
    # With repeated store outages, removed targets stayed in use forever.
    directory, clock = make_directory(TARGET)
    directory.begin_grace_period()
    directory.remove('i', 5)
    clock.advance(RETURN_GRACE_S - 0.1)
    directory.begin_grace_period()
    clock.advance(0.1)
    assert directory.expire() == ['i']
    assert not directory.of_service('s')


def test_a_target_that_returns_is_not_removed_later():
    directory, clock = make_directory(TARGET)
    directory.begin_grace_period()
    directory.replace_all([])
    directory.put(TARGET)
    clock.advance(RETURN_GRACE_S)
    assert not directory.expire()
    assert directory.of_service('s')


def test_a_leader_report_of_a_leaving_target_stops_new_requests():
    # A host's own watch may be late; this second path keeps the DRAIN bound.
    directory, _clock = make_directory(TARGET)
    directory.mark_leaving(('i', 2))
    assert directory.of_service('s')
    directory.mark_leaving(TARGET.identity)
    assert not directory.of_service('s')
    directory.put(TARGET)
    assert not directory.of_service('s')
    directory.put(TARGET._replace(born_ms=3))
    assert directory.of_service('s')


def test_a_leaving_target_gets_no_grace_period():
    directory, _clock = make_directory(TARGET._replace(is_leaving=True))
    directory.begin_grace_period()
    directory.replace_all([])
    assert not len(directory)


def test_holdings_from_the_leader_replace_those_of_an_older_entry():
    directory, _clock = make_directory(
        TARGET._replace(holdings=make_holdings('a'))
    )
    directory.update_holdings(TARGET.identity, make_holdings('b', count=2))
    directory.put(TARGET._replace(holdings=make_holdings('a')))
    (target,) = directory.of_service('s')
    assert set(target.holdings.models) == {'b'}


def test_older_holdings_from_the_leader_are_ignored():
    directory, _clock = make_directory(TARGET)
    directory.update_holdings(TARGET.identity, make_holdings('b', count=2))
    directory.update_holdings(TARGET.identity, make_holdings('a', count=1))
    assert set(directory.get('i').holdings.models) == {'b'}


def test_a_changed_entry_replaces_expired_holdings_from_the_leader():
    directory, clock = make_directory(
        TARGET._replace(holdings=make_holdings('a'))
    )
    directory.update_holdings(TARGET.identity, make_holdings('b', count=2))
    clock.advance(REPORTED_HOLDINGS_TTL_S + 0.1)
    directory.put(TARGET._replace(holdings=make_holdings('c')))
    assert set(directory.get('i').holdings.models) == {'c'}


def test_a_new_incarnation_of_an_engine_inherits_no_holdings():
    directory, _clock = make_directory(TARGET)
    directory.update_holdings(TARGET.identity, make_holdings('b', count=2))
    directory.put(TARGET._replace(born_ms=2))
    assert not directory.get('i').holdings.models


def test_an_adapter_is_served_only_with_its_model():
    holdings = Holdings({'m': frozenset(['a1'])})
    assert holdings.serves(None)
    assert holdings.serves(ModelVariant('m'))
    assert holdings.serves(ModelVariant('m', 'a1'))
    assert not holdings.serves(ModelVariant('m', 'a2'))
    assert not holdings.serves(ModelVariant('n', 'a1'))


def test_an_entry_older_than_its_removal_is_ignored():
    # An update that was resent restored a target that had left.
    directory, _clock = make_directory()
    directory.remove_now('i', 7)
    directory.put(TARGET._replace(revision=6))
    assert directory.get('i') is None
    directory.put(TARGET._replace(revision=8))
    assert directory.get('i')


def test_an_older_version_of_an_entry_is_ignored():
    # Updates and the host's own watch may deliver versions in any order.
    directory, _clock = make_directory(TARGET._replace(revision=5))
    directory.put(TARGET._replace(revision=4, slots=1))
    assert directory.get('i').slots == TARGET.slots
    directory.remove('i', 3)
    assert directory.get('i')
    directory.remove_now('i', 7)
    directory.put(TARGET._replace(revision=6))
    assert directory.get('i') is None
    directory.put(TARGET._replace(revision=8))
    assert directory.get('i')


def test_an_entry_that_a_listing_lacks_is_not_brought_back_by_a_peer():
    # A restarted process knows no removals; a delayed state update listed a
    # target that had left before.
    directory = TargetDirectory(lambda: 0)
    directory.replace_all([], 9)
    directory.put(TARGET._replace(revision=7))
    assert not list(directory)
    directory.put(TARGET._replace(revision=10))
    assert list(directory)


def make_target(era, number, **changes):
    return TARGET._replace(revision=Version(era, number).pack(), **changes)


def test_what_a_new_era_lists_is_newer_than_a_higher_revision_before():
    directory, _clock = make_directory(make_target(1, 9))
    directory.replace_all([make_target(2, 5, slots=1)], Version(2, 5).pack())
    assert directory.get('i').slots == 1
    # A host that was cut off still sends what it knows.
    directory.put(make_target(1, 12, slots=2))
    directory.remove('i', Version(1, 12).pack())
    assert directory.get('i').slots == 1


def test_a_leaving_target_stays_leaving_when_its_report_is_lost():
    directory, _clock = make_directory(make_target(1, 9, is_leaving=True))
    directory.put(make_target(2, 5))
    directory.put(make_target(2, 6))
    assert not directory.of_service('s')
    directory.put(make_target(2, 7, born_ms=2))
    assert directory.of_service('s')


def test_a_removed_target_stays_removed_when_its_entry_is_restored():
    directory, clock = make_directory(make_target(1, 4))
    directory.remove('i', Version(1, 9).pack())
    directory.replace_all([make_target(2, 4)], Version(2, 5).pack())
    clock.advance(RESTORED_HOLD_S - 0.1)
    directory.expire()
    assert not directory.of_service('s')
    # Its removal is written again.
    directory.remove('i', Version(2, 8).pack())
    clock.advance(1)
    directory.expire()
    assert not directory.of_service('s')


def test_a_target_that_writes_its_entry_after_a_restore_is_used():
    directory, _clock = make_directory(make_target(1, 4))
    directory.remove('i', Version(1, 9).pack())
    directory.put(make_target(2, 4))
    directory.put(make_target(2, 6))
    assert directory.of_service('s')


def test_a_restored_entry_that_stays_listed_is_used_in_the_end():
    directory, clock = make_directory(make_target(1, 4))
    directory.remove('i', Version(1, 9).pack())
    directory.put(make_target(2, 4))
    clock.advance(RESTORED_HOLD_S)
    directory.expire()
    assert directory.of_service('s')


def test_an_earlier_incarnation_is_not_restored():
    directory, _clock = make_directory(make_target(1, 4))
    directory.put(make_target(1, 8, born_ms=2))
    directory.put(make_target(2, 4))
    assert directory.get('i').born_ms == 2


def test_an_entry_that_is_only_of_a_new_era_is_not_sent_to_other_hosts():
    directory, _clock = make_directory(make_target(1, 4))
    sent = []
    directory.on_put = sent.append
    directory.put(make_target(2, 4))
    assert not sent
    directory.put(make_target(2, 5))
    assert len(sent) == 1
