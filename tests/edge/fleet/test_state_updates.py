"""Test that a host relies on state updates only while it has all of them.

A host that misses one would go on sending requests to a leaving target.
"""

import random

from cassiarail.core.clock import ManualClock
from cassiarail.edge.fleet.broadcast import Broadcaster, Host
from cassiarail.edge.fleet.entry_digest import EntryDigest
from cassiarail.edge.fleet.messages import (
    Relay,
    RemovedRow,
    StateUpdate,
    decode_message,
)
from cassiarail.edge.fleet.rows import describe_target, read_target
from cassiarail.edge.fleet.state_updates import REORDER_S, StateUpdateReceiver
from cassiarail.edge.registry.targets import Holdings, Target, TargetDirectory
from cassiarail.http1.pool import Address

LEADER = Address('10.0.0.1', 7)
PEER = Address('10.0.0.2', 7)
# Digest of a host that knows what the leader knows.
DIGEST = 5
TRANSIT_S = 0.01


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
        'digest': DIGEST,
    }
    return StateUpdate(**{**fields, **changes})


def receive(receiver, update, digest=DIGEST):
    """Handle an update as a host does that knows the entries of a digest.

    It also handles a reply, which has measured the leader's clock.
    """
    receiver.receive(update)
    if receiver.needs_reply:
        now = receiver._clock.monotonic()
        receiver.confirm(
            make_state_update(
                contact_s=9, sent_at=now - TRANSIT_S, reply_to=now or TRANSIT_S
            ),
            digest,
        )
    receiver.confirm(update, digest)


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
    receive(receiver, make_state_update(number=1, gone=[RemovedRow('a', 1)]))
    assert receiver.is_current()
    receive(receiver, make_state_update(number=3, gone=[RemovedRow('c', 3)]))
    clock.advance(REORDER_S)
    assert receiver.is_behind
    assert not receiver.is_current()
    receive(receiver, make_state_update(number=2, gone=[RemovedRow('b', 2)]))
    assert receiver.is_current()


def test_a_heartbeat_reveals_an_update_that_was_lost():
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receive(receiver, make_state_update(number=1))
    clock.advance(REORDER_S)
    assert receiver.is_behind


def test_a_reordered_update_is_not_requested_again():
    # Resending each overtaken update sent more than the updates themselves.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receive(receiver, make_state_update(number=2, gone=[RemovedRow('b', 2)]))
    clock.advance(REORDER_S / 2)
    assert not receiver.is_behind
    receive(receiver, make_state_update(number=1, gone=[RemovedRow('a', 1)]))
    clock.advance(REORDER_S)
    assert not receiver.is_behind


def test_a_store_call_replaces_updates_that_were_lost_before_it():
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receive(receiver, make_state_update(number=4))
    clock.advance(0.3)
    receiver.record_store_call(clock.monotonic())
    assert not receiver.has_gap


def test_a_delayed_store_response_does_not_replace_a_later_update():
    # The response was made before the change in the lost update.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    started_at = clock.monotonic()
    clock.advance(0.1)
    receive(receiver, make_state_update(number=4))
    clock.advance(0.4)
    receiver.record_store_call(started_at)
    assert receiver.is_behind


def test_a_host_does_not_rely_on_a_leader_without_contact_to_the_store():
    # A leader that was cut off went on reporting that nothing changes.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receive(receiver, make_state_update(contact_s=-1))
    assert not receiver.is_current()
    clock.advance(0.1)
    receive(receiver, make_state_update(contact_s=0.9, sent_at=0.1))
    assert receiver.is_current()
    clock.advance(0.7)
    assert not receiver.is_current()


def test_a_resent_update_does_not_renew_the_contact_time():
    # A leader cut off from the store resent updates; hosts kept relying on it.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    update = make_state_update(number=1, gone=[RemovedRow('a', 1)])
    receive(receiver, update)
    clock.advance(0.1)
    receive(receiver, make_state_update(number=1, contact_s=-1, sent_at=0.1))
    assert not receiver.is_current()
    receive(receiver, update)
    assert not receiver.is_current()


def test_an_update_that_a_relay_delayed_does_not_look_recent():
    # A suspended relay passed on an update seconds later; the leader had been
    # cut off from the store meanwhile.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    receive(receiver, make_state_update())
    clock.advance(5)
    receive(receiver, make_state_update(sent_at=0.5))
    assert not receiver.is_current()
    receive(receiver, make_state_update(sent_at=5))
    assert receiver.is_current()


def test_the_first_update_of_a_term_proves_nothing_without_a_reply():
    # It may have been delayed by a relay, and nothing shows for how long.
    receiver = StateUpdateReceiver(ManualClock())
    update = make_state_update()
    receiver.receive(update)
    receiver.confirm(update, DIGEST)
    assert receiver.needs_reply
    assert not receiver.is_current()


def test_a_new_leader_with_an_older_configuration_is_not_up_to_date():
    # It would announce the older version as current to all hosts.
    receiver = StateUpdateReceiver(ManualClock())
    receive(receiver, make_state_update(configuration=7))
    assert receiver.age_with_configuration_s(7) < 1
    assert receiver.age_with_configuration_s(6) > 1_000_000


def test_a_removal_missed_before_a_change_of_leader_is_noticed():
    # The next leader has removed the entry already and doesn't announce it
    # again; the host went on sending requests to the target.
    clock = ManualClock()
    receiver = StateUpdateReceiver(clock)
    directory = TargetDirectory(clock.monotonic)
    digest = EntryDigest(directory)
    directory.put(make_target('a', 1))
    with_entry = digest.compute()
    directory.remove_now('a', 2)
    without_entry = digest.compute()
    receive(receiver, make_state_update(digest=with_entry), with_entry)
    for beat in range(1, 5):
        clock.advance(0.5)
        receive(
            receiver,
            make_state_update(fence=2, digest=without_entry, sent_at=beat / 2),
            with_entry,
        )
    assert not receiver.is_current()


def test_another_leader_begins_its_own_numbers():
    receiver = StateUpdateReceiver(ManualClock())
    receive(receiver, make_state_update(number=9))
    receive(receiver, make_state_update(fence=2, number=0))
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
