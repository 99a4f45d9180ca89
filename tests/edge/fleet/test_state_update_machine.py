"""Test that a host that relies on state updates keeps the drain limit."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from cassiarail.core.clock import ManualClock
from cassiarail.edge.fleet.broadcast import Host
from cassiarail.edge.fleet.changes import ChangeLog
from cassiarail.edge.fleet.entry_digest import EntryDigest
from cassiarail.edge.fleet.rows import read_target
from cassiarail.edge.fleet.state_updates import StateUpdateReceiver
from cassiarail.edge.registry.targets import TargetDirectory
from tests.edge.fleet.test_state_updates import (
    PEER,
    make_broadcaster,
    make_state_update,
    make_target,
)

NAMES = ('a', 'b', 'c')
# The shortest limit on requests to a leaving target.
DRAIN_LIMIT_S = 2.0


class Leader:
    """Follow the store at chosen times, and send what has changed."""

    # Small, so that the rows of one change are spread over several updates.
    max_rows = 2

    def __init__(self, machine):
        clock = machine.clock
        self.machine = machine
        self.directory = TargetDirectory(clock.monotonic)
        self.changes = ChangeLog(
            self.directory, lambda: True, lambda: None, clock
        )
        self.digest = EntryDigest(self.directory)
        self.confirmed_at = float('-inf')

    def follow(self):
        self.confirmed_at = self.machine.clock.monotonic()
        self.directory.replace_all(
            self.machine.store.values(), self.machine.revision
        )

    def begin_term(self):
        self.changes.clear()
        self.changes.add_all()

    def send(self):
        changes = self.changes.pop(self.max_rows)
        self.machine.broadcaster.send(
            self.make_update(targets=changes.targets, gone=changes.removed)
        )

    def reply(self, asked_at):
        update = self.make_update(
            number=self.machine.broadcaster.number, reply_to=asked_at
        )
        self.machine.link.sent.append((update, PEER))

    def make_update(self, **fields):
        now = self.machine.clock.monotonic()
        return make_state_update(
            fence=self.machine.fence,
            sent_at=now,
            contact_s=max(now - self.confirmed_at, self.changes.waiting_s()),
            leaving=self.directory.list_leaving(),
            digest=self.digest.compute() if self.changes.is_empty else 0,
            **fields,
        )


class UpdateMachine(RuleBasedStateMachine):
    """Send changes of one leader after another over an unreliable link.

    Datagrams are lost, delayed, reordered and delivered twice; a leader may
    not have followed the store for long.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.clock.advance(1)
        self.receiver = StateUpdateReceiver(self.clock)
        self.broadcaster, self.link = make_broadcaster(Host(PEER, 'dc'))
        self.store = {}
        self.left_at = {}
        self.revision = 0
        self.born = 0
        self.fence = 1
        self.directory = TargetDirectory(self.clock.monotonic)
        self.digest = EntryDigest(self.directory)
        self.leaders = [Leader(self), Leader(self)]
        self.leader = self.leaders[0]

    @rule(name=st.sampled_from(NAMES))
    def register(self, name):
        self._leave(name)
        self.born += 1
        self.revision += 1
        target = make_target(name, self.revision)
        self.store[name] = target._replace(born_ms=self.born)

    @rule(name=st.sampled_from(NAMES), is_announced=st.booleans())
    def leave(self, name, is_announced):
        if name not in self.store:
            return
        self._leave(name)
        self.revision += 1
        if is_announced:
            self.store[name] = self.store[name]._replace(
                is_leaving=True, revision=self.revision
            )
        else:
            self.store.pop(name)

    @rule(index=st.integers(0, 1))
    def follow(self, index):
        self.leaders[index].follow()

    @rule()
    def send(self):
        self.leader.send()

    @rule(tenths=st.integers(0, 3))
    def request_reply(self, tenths):
        if self.receiver.needs_reply:
            asked_at = self.clock.monotonic()
            self.clock.advance(tenths / 10)
            self.leader.reply(asked_at)

    @rule()
    def change_leader(self):
        self.fence += 1
        self.leader = self.leaders[self.fence % 2]
        self.broadcaster.begin_term()
        self.leader.begin_term()

    @rule(tenths=st.integers(1, 25))
    def pass_time(self, tenths):
        self.clock.advance(tenths / 10)

    @rule(
        pick=st.randoms(use_true_random=False),
        is_lost=st.booleans(),
        is_kept=st.booleans(),
    )
    def deliver(self, pick, is_lost, is_kept):
        if not self.link.sent:
            return
        index = pick.randrange(len(self.link.sent))
        update, _to = self.link.sent[index]
        if not is_kept:
            self.link.sent.pop(index)
        if not is_lost and update.fence >= self.receiver.fence:
            self._receive(update)

    @rule()
    def request_resend(self):
        if self.receiver.is_behind:
            self.broadcaster.resend(self.receiver.last_received, PEER)

    @rule()
    def call_store(self):
        self.directory.replace_all(self.store.values(), self.revision)
        self.receiver.record_store_call(self.clock.monotonic())

    def _leave(self, name):
        if name in self.store:
            identity = self.store[name].identity
            self.left_at.setdefault(identity, self.clock.monotonic())

    def _receive(self, update):
        self.receiver.receive(update)
        for identity in update.leaving:
            self.directory.mark_leaving(tuple(identity))
        for row in update.targets:
            self.directory.put(read_target(row))
        for removed in update.gone:
            self.directory.remove_now(removed.instance, removed.revision)
        self.receiver.confirm(update, self.digest.compute())

    @invariant()
    def a_current_host_sends_nothing_to_a_target_that_left(self):
        if not self.receiver.is_current():
            return
        oldest = self.clock.monotonic() - DRAIN_LIMIT_S
        for target in self.directory:
            if self.directory.accepts_requests(target):
                left_at = self.left_at.get(target.identity)
                assert left_at is None or left_at >= oldest


def test_a_host_that_relies_on_updates_keeps_the_drain_limit():
    run_state_machine_as_test(
        UpdateMachine,
        settings=settings(max_examples=300, stateful_step_count=40),
    )
