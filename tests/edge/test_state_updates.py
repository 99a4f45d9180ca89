"""Test that a host relies on state updates only while it has all of them.

A host that misses one would go on sending requests to a leaving target.
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
    Relay,
    RemovedRow,
    StateUpdate,
    decode_message,
)
from cassiarail.edge.rows import describe_target, read_target
from cassiarail.edge.state_updates import REORDER_S, StateUpdateReceiver
from cassiarail.edge.targets import Holdings, Target, TargetDirectory
from cassiarail.http1.pool import Address

LEADER = Address('10.0.0.1', 7)
PEER = Address('10.0.0.2', 7)
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
        'address': str(LEADER),
        'fence': 1,
        'number': 0,
        'contact_s': 0.1,
        'hosts': 2,
        'engines': [],
        'expected': [],
        'losses': [],
        'leaving': [],
    }
    return StateUpdate(**{**fields, **changes})


class FakeLink:
    """Record what is sent."""

    def __init__(self, address=LEADER):
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


def test_a_row_contains_every_field_of_an_entry():
    target = make_target('a', 5, leaving=True)
    assert read_target(describe_target(target)) == target


def test_a_receiver_that_misses_an_update_is_not_current():
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receiver.receive(make_state_update(number=1, gone=[RemovedRow('a', 1)]))
    assert receiver.is_current()
    receiver.receive(make_state_update(number=3, gone=[RemovedRow('c', 3)]))
    clock.advance(REORDER_S)
    assert receiver.is_behind
    assert not receiver.is_current()
    receiver.receive(make_state_update(number=2, gone=[RemovedRow('b', 2)]))
    assert receiver.is_current()


def test_a_heartbeat_reveals_an_update_that_was_lost():
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receiver.receive(make_state_update(number=1))
    clock.advance(REORDER_S)
    assert receiver.is_behind


def test_a_reordered_update_is_not_requested_again():
    # Resending each overtaken update sent more than the updates themselves.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receiver.receive(make_state_update(number=2, gone=[RemovedRow('b', 2)]))
    clock.advance(REORDER_S / 2)
    assert not receiver.is_behind
    receiver.receive(make_state_update(number=1, gone=[RemovedRow('a', 1)]))
    clock.advance(REORDER_S)
    assert not receiver.is_behind


def test_a_store_call_replaces_updates_that_were_lost_before_it():
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receiver.receive(make_state_update(number=4))
    clock.advance(0.3)
    receiver.record_store_call(clock.monotonic())
    assert not receiver.has_gap


def test_a_delayed_store_response_does_not_replace_a_later_update():
    # The response was made before the change in the lost update.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    started_at = clock.monotonic()
    clock.advance(0.1)
    receiver.receive(make_state_update(number=4))
    clock.advance(0.4)
    receiver.record_store_call(started_at)
    assert receiver.is_behind


def test_a_host_does_not_rely_on_a_leader_without_contact_to_the_store():
    # A leader that was cut off went on reporting that nothing changes.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receiver.receive(make_state_update(contact_s=-1))
    assert not receiver.is_current()
    receiver.receive(make_state_update(contact_s=0.9))
    assert receiver.is_current()
    clock.advance(0.4)
    assert not receiver.is_current()


def test_a_resent_update_does_not_renew_the_contact_time():
    # A leader cut off from the store resent updates; hosts kept relying on it.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    update = make_state_update(number=1, gone=[RemovedRow('a', 1)])
    receiver.receive(update)
    receiver.receive(make_state_update(number=1, contact_s=-1))
    assert not receiver.is_current()
    receiver.receive(update)
    assert not receiver.is_current()


def test_another_leader_begins_its_own_numbers():
    receiver = StateUpdateReceiver(ManualClock())
    receiver.receive(make_state_update(number=9))
    receiver.receive(make_state_update(fence=2, number=0))
    assert receiver.is_current()
    assert (receiver.fence, receiver.last_received) == (2, 0)


def test_two_hosts_relay_updates_in_a_large_data_centre():
    # Sending to each host filled the leader's link of 5 Mbit/s.
    far = [Host(Address('10.0.1.1', port), 'far') for port in range(1, 21)]
    near = [Host(LEADER, 'near'), Host(PEER, 'near')]
    broadcaster, link = make_broadcaster(*near, *far)
    broadcaster.send(make_state_update(gone=[RemovedRow('a', 1)]))
    relays = [(sent, to) for sent, to in link.sent if isinstance(sent, Relay)]
    direct = [to for sent, to in link.sent if isinstance(sent, StateUpdate)]
    assert direct == [PEER]
    assert len(relays) == 2
    for relay, to in relays:
        covered = {*relay.addresses, str(to)}
        assert covered == {str(host.address) for host in far}


def test_missed_updates_are_resent_while_they_are_stored():
    broadcaster, link = make_broadcaster(Host(PEER, 'near'))
    for revision in range(200):
        broadcaster.send(make_state_update(gone=[RemovedRow('a', revision)]))
    link.sent.clear()
    assert broadcaster.resend(195, PEER)
    assert [sent.number for sent, _to in link.sent] == list(range(196, 201))
    assert not broadcaster.resend(1, PEER)


def test_a_host_that_misses_many_updates_does_not_fill_the_link():
    # Hosts that had been cut off requested hundreds of updates each.
    broadcaster, link = make_broadcaster(Host(PEER, 'near'))
    for revision in range(100):
        broadcaster.send(make_state_update(gone=[RemovedRow('a', revision)]))
    link.sent.clear()
    assert not broadcaster.resend(50, PEER)
    assert not link.sent


def test_only_hosts_with_recent_contact_relay_updates():
    # A data centre missed an update if both chosen hosts were cut off.
    far = [Host(Address('10.0.1.1', port), 'far') for port in range(1, 21)]
    broadcaster, link = make_broadcaster(*far)
    for host in far[:3]:
        broadcaster.record_contact(host.address)
    for _update in range(20):
        broadcaster.send(make_state_update())
    relays = {to for sent, to in link.sent if isinstance(sent, Relay)}
    assert relays <= {host.address for host in far[:3]}


class UpdateMachine(RuleBasedStateMachine):
    """Send changes over a link that loses and reorders datagrams."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.receiver = StateUpdateReceiver(self.clock)
        self.broadcaster, self.link = make_broadcaster(Host(PEER, 'dc'))
        self.store = {}
        self.revision = 0
        self.directory = TargetDirectory(self.clock.monotonic)
        self.in_transit = []

    def _change(self, name, target):
        self.revision += 1
        if target is None:
            self.store.pop(name, None)
            changed = {'gone': [RemovedRow(name, self.revision)]}
        else:
            target = target._replace(revision=self.revision)
            self.store[name] = target
            changed = {'targets': [describe_target(target)]}
        self.broadcaster.send(make_state_update(**changed))

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def register(self, name, leaving):
        self._change(name, make_target(name, 0, leaving=leaving))

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        self._change(name, None)

    @rule()
    def send_heartbeat(self):
        self.broadcaster.send(make_state_update())

    @rule(pick=st.randoms(use_true_random=False), lost=st.booleans())
    def deliver(self, pick, lost):
        if self.link.sent:
            index = pick.randrange(len(self.link.sent))
            update, _to = self.link.sent.pop(index)
            if not lost:
                self._receive(update)

    @rule()
    def request_resend(self):
        self.clock.advance(REORDER_S)
        if self.receiver.is_behind:
            self.link.sent.clear()
            self.broadcaster.resend(self.receiver.last_received, PEER)

    @rule()
    def call_store(self):
        self.clock.advance(0.3)
        started_at = self.clock.monotonic()
        self.directory.replace_all(self.store.values(), self.revision)
        self.receiver.record_store_call(started_at)

    def _receive(self, update):
        self.receiver.receive(update)
        for row in update.targets:
            self.directory.put(read_target(row))
        for removed in update.gone:
            self.directory.remove_now(removed.instance, removed.revision)

    @invariant()
    def a_current_receiver_agrees_with_the_store(self):
        # A host doesn't know about updates in transit; without any, its
        # directory equals the store's.
        is_delivered = self.receiver.last_received == self.broadcaster.number
        if is_delivered and not self.receiver.has_gap:
            known = {each.instance: each for each in self.directory}
            assert known == self.store


def test_a_current_receiver_agrees_with_the_registry():
    run_state_machine_as_test(
        UpdateMachine,
        settings=settings(max_examples=150, stateful_step_count=40),
    )
