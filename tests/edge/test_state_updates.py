"""Guard that a host relies on ledgers only while they tell everything.

A host that misses one would go on sending to a target that is leaving.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cassiarail.core.clock import ManualClock
from cassiarail.edge.broadcast import Broadcaster, Host
from cassiarail.edge.messages import (
    GoneRow,
    Ledger,
    Relay,
    decode_message,
)
from cassiarail.edge.rows import describe_target, read_target
from cassiarail.edge.state_updates import REORDER_S, StateUpdateReceiver
from cassiarail.edge.targets import Holdings, Target, TargetDirectory
from cassiarail.http1.pool import Address

HOLDER = Address('10.0.0.1', 7)
OTHER = Address('10.0.0.2', 7)
NAMES = ('a', 'b', 'c')


def make_target(name, revision, *, leaving=False):
    return Target(
        name,
        1,
        's',
        Address('10.1.0.1', 80),
        'dc',
        8,
        leaving,
        Holdings({'m': frozenset(('x',))}, frozenset('m'), frozenset('n')),
        revision,
    )


def make_state_update(**changes):
    fields = {
        'host': 'h',
        'address': str(HOLDER),
        'fence': 1,
        'number': 0,
        'contact_s': 0.1,
        'hosts': 2,
        'engines': [],
        'expected': [],
        'losses': [],
        'leaving': [],
    }
    return Ledger(**{**fields, **changes})


class FakeLink:
    """Keep what is sent."""

    def __init__(self, address=HOLDER):
        self.address = address
        self.sent = []

    def send(self, message, address, _kind):
        self.sent.append((message, address))

    def send_datagram(self, datagram, address, _kind):
        self.sent.append((decode_message(datagram), address))


def make_broadcaster(*hosts):
    link = FakeLink()
    clock = ManualClock()
    return Broadcaster(link, lambda: hosts, random.Random(1), clock), link


def test_rows_hold_a_whole_entry():
    target = make_target('a', 5, leaving=True)
    assert read_target(describe_target(target)) == target


def test_a_feed_that_misses_a_ledger_is_not_current():
    clock = ManualClock()
    feed = StateUpdateReceiver(clock)
    feed.receive(make_state_update(number=1, gone=[GoneRow('a', 1)]))
    assert feed.is_current()
    feed.receive(make_state_update(number=3, gone=[GoneRow('c', 3)]))
    clock.advance(REORDER_S)
    assert feed.is_behind
    assert not feed.is_current()
    feed.receive(make_state_update(number=2, gone=[GoneRow('b', 2)]))
    assert feed.is_current()


def test_a_beat_tells_of_a_ledger_that_was_lost():
    clock = ManualClock()
    feed = StateUpdateReceiver(clock)
    feed.receive(make_state_update(number=1))
    clock.advance(REORDER_S)
    assert feed.is_behind


def test_a_ledger_that_is_overtaken_is_not_taken_for_lost():
    # Each one was asked for again, which sent more than the ledgers themselves.
    clock = ManualClock()
    feed = StateUpdateReceiver(clock)
    feed.receive(make_state_update(number=2, gone=[GoneRow('b', 2)]))
    clock.advance(REORDER_S / 2)
    assert not feed.is_behind
    feed.receive(make_state_update(number=1, gone=[GoneRow('a', 1)]))
    clock.advance(REORDER_S)
    assert not feed.is_behind


def test_an_own_call_replaces_ledgers_that_were_lost_before_it():
    clock = ManualClock()
    feed = StateUpdateReceiver(clock)
    feed.receive(make_state_update(number=4))
    clock.advance(0.3)
    feed.record_store_call(clock.monotonic())
    assert not feed.has_gap


def test_an_answer_that_was_long_under_way_replaces_no_later_ledger():
    # It was made before the change that the lost ledger told.
    clock = ManualClock()
    feed = StateUpdateReceiver(clock)
    begun_at = clock.monotonic()
    clock.advance(0.1)
    feed.receive(make_state_update(number=4))
    clock.advance(0.4)
    feed.record_store_call(begun_at)
    assert feed.is_behind


def test_a_holder_without_contact_to_the_store_is_not_relied_on():
    # A holder that was cut off went on telling that nothing changes.
    clock = ManualClock()
    feed = StateUpdateReceiver(clock)
    feed.receive(make_state_update(contact_s=-1))
    assert not feed.is_current()
    feed.receive(make_state_update(contact_s=0.9))
    assert feed.is_current()
    clock.advance(0.4)
    assert not feed.is_current()


def test_a_ledger_that_is_sent_again_tells_no_new_contact():
    # A holder that was cut off from the store went on answering requests for
    # ledgers, and hosts went on relying on it.
    clock = ManualClock()
    feed = StateUpdateReceiver(clock)
    ledger = make_state_update(number=1, gone=[GoneRow('a', 1)])
    feed.receive(ledger)
    feed.receive(make_state_update(number=1, contact_s=-1))
    assert not feed.is_current()
    feed.receive(ledger)
    assert not feed.is_current()


def test_another_holder_begins_its_own_numbers():
    feed = StateUpdateReceiver(ManualClock())
    feed.receive(make_state_update(number=9))
    feed.receive(make_state_update(fence=2, number=0))
    assert feed.is_current()
    assert (feed.fence, feed.last_received) == (2, 0)


def test_a_large_data_centre_is_told_by_two_of_its_hosts():
    # Sending to each host filled the holder's link of 5 Mbit/s.
    far = [Host(Address('10.0.1.1', port), 'far') for port in range(1, 21)]
    near = [Host(HOLDER, 'near'), Host(OTHER, 'near')]
    broadcaster, link = make_broadcaster(*near, *far)
    broadcaster.send(make_state_update(gone=[GoneRow('a', 1)]))
    relays = [(sent, to) for sent, to in link.sent if isinstance(sent, Relay)]
    direct = [to for sent, to in link.sent if isinstance(sent, Ledger)]
    assert direct == [OTHER]
    assert len(relays) == 2
    for relay, to in relays:
        reached = {*relay.addresses, str(to)}
        assert reached == {str(host.address) for host in far}


def test_missed_ledgers_are_sent_again_while_they_are_kept():
    broadcaster, link = make_broadcaster(Host(OTHER, 'near'))
    for revision in range(200):
        broadcaster.send(make_state_update(gone=[GoneRow('a', revision)]))
    link.sent.clear()
    assert broadcaster.resend(195, OTHER)
    assert [sent.number for sent, _to in link.sent] == list(range(196, 201))
    assert not broadcaster.resend(1, OTHER)


def test_a_host_that_misses_much_is_not_sent_all_of_it():
    # Hosts that were cut off asked for hundreds each, and filled the link.
    broadcaster, link = make_broadcaster(Host(OTHER, 'near'))
    for revision in range(100):
        broadcaster.send(make_state_update(gone=[GoneRow('a', revision)]))
    link.sent.clear()
    assert not broadcaster.resend(50, OTHER)
    assert not link.sent


def test_hosts_that_are_heard_pass_ledgers_on():
    # A data centre missed a ledger if both hosts picked were cut off.
    far = [Host(Address('10.0.1.1', port), 'far') for port in range(1, 21)]
    broadcaster, link = make_broadcaster(*far)
    for host in far[:3]:
        broadcaster.note_heard(host.address)
    for _ledger in range(20):
        broadcaster.send(make_state_update())
    relays = {to for sent, to in link.sent if isinstance(sent, Relay)}
    assert relays <= {host.address for host in far[:3]}


class FeedMachine(RuleBasedStateMachine):
    """Let a holder tell of changes over a link that loses and reorders."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.feed = StateUpdateReceiver(self.clock)
        self.broadcaster, self.link = make_broadcaster(Host(OTHER, 'dc'))
        self.store = {}
        self.revision = 0
        self.follower = TargetDirectory(self.clock.monotonic)
        self.under_way = []

    def _change(self, name, target):
        self.revision += 1
        if target is None:
            self.store.pop(name, None)
            rows = {'gone': [GoneRow(name, self.revision)]}
        else:
            target = target._replace(revision=self.revision)
            self.store[name] = target
            rows = {'targets': [describe_target(target)]}
        self.broadcaster.send(make_state_update(**rows))

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def register(self, name, leaving):
        self._change(name, make_target(name, 0, leaving=leaving))

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        self._change(name, None)

    @rule()
    def beat(self):
        self.broadcaster.send(make_state_update())

    @rule(pick=st.randoms(use_true_random=False), lost=st.booleans())
    def deliver(self, pick, lost):
        if self.link.sent:
            index = pick.randrange(len(self.link.sent))
            ledger, _to = self.link.sent.pop(index)
            if not lost:
                self._take(ledger)

    @rule()
    def ask_again(self):
        self.clock.advance(REORDER_S)
        if self.feed.is_behind:
            self.link.sent.clear()
            self.broadcaster.resend(self.feed.last_received, OTHER)

    @rule()
    def watch(self):
        self.clock.advance(0.3)
        begun_at = self.clock.monotonic()
        self.follower.replace_all(self.store.values(), self.revision)
        self.feed.record_store_call(begun_at)

    def _take(self, ledger):
        self.feed.receive(ledger)
        for row in ledger.targets:
            self.follower.put(read_target(row))
        for gone in ledger.gone:
            self.follower.drop(gone.instance, gone.revision)

    @invariant()
    def a_current_feed_shows_what_was_told(self):
        # What is still under way is not known to the host; apart from that,
        # its directory is the store's.
        is_told = self.feed.last_received == self.broadcaster.number
        if is_told and not self.feed.has_gap:
            known = {each.instance: each for each in self.follower}
            assert known == self.store


def test_a_current_feed_agrees_with_the_registry():
    run_state_machine_as_test(
        FeedMachine,
        settings=settings(max_examples=150, stateful_step_count=40),
    )
