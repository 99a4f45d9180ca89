"""Play hosts, their leader and their datagrams in virtual time."""

import collections
import heapq
import itertools
import random

from cassiarail.core.clock import ManualClock
from cassiarail.edge.fleet.messages import (
    QuotaGrants,
    QuotaReport,
    encode_message,
)
from cassiarail.limits.quota_bounds import QuotaRules
from cassiarail.limits.quota_ledger import (
    HostPresence,
    HostReport,
    QuotaLedger,
)
from cassiarail.limits.quota_rows import identify_account
from cassiarail.limits.quotas import Decision, HostQuotas
from cassiarail.security.accounts import AccountQuota, ClientAccount

WINDOW_S = 8.0
OVER = 1.1
SLACK = 7500
RULES = QuotaRules(WINDOW_S, OVER - 1, SLACK)
RATE = 200_841
WAIT_S = 0.15
ASK_EVERY_S = 0.05
TICK_S = 0.25
UPDATE_S = 0.5
IN_TOUCH_S = 1.4
MS = 1000
# Clocks of machines that run for some days; numbers take more bytes.
BOOTED_MS = 10**9


def make_account(name, rate=RATE, burst=None):
    quota = AccountQuota(rate, rate if burst is None else burst, True, 1000)
    return ClientAccount(name, None, quota)


class Host:
    """Run one process with its units."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.is_frozen = False
        self.is_cut = False
        self.restart()

    def restart(self):
        self.is_up = True
        self.leader = None
        self.host_count = 0
        self.quotas = HostQuotas(
            self.fleet.clock,
            lambda: self.host_count,
            RULES,
            self.fleet.random.random,
        )
        self.ledger = QuotaLedger(self.fleet.clock, RULES)
        self.ledger.change_accounts(self.fleet.accounts)
        self.heard_at = {}
        self.asked_at = float('-inf')
        self.denied = 0

    def runs(self):
        return self.is_up and not self.is_frozen


class Fleet:
    """Deliver what hosts send to each other, and count what is spent."""

    def __init__(self, count, accounts, seed, loss=0, delay_s=(0.001, 0.004)):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.accounts = list(accounts)
        self.loss = loss
        self.delay_s = delay_s
        self.hosts = [Host(self, f'h{index}') for index in range(count)]
        self.leader = None
        self.fence = 0
        self.queue = []
        self.order = itertools.count()
        self.spends = collections.defaultdict(list)
        self.asked = collections.Counter()
        self.refused = collections.Counter()
        self.returned_after_s = 0
        self.returns_until = 0
        self.bytes = 0
        self.datagrams = 0
        self.lead(self.hosts[0])
        for host in self.hosts:
            self.later(self.random.random() * TICK_S, self.tick, host)
        self.later(0, self.update)

    @property
    def now(self):
        return self.clock.monotonic()

    def later(self, seconds, call, *arguments):
        entry = (self.now + seconds, next(self.order), call, arguments)
        heapq.heappush(self.queue, entry)

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            at, _order, call, arguments = heapq.heappop(self.queue)
            self.clock.advance(max(0, at - self.now))
            call(*arguments)
        self.clock.advance(end - self.now)

    def lead(self, host):
        self.leader = host
        self.fence += 1
        if host is not None:
            host.ledger.begin_term(is_first=self.fence == 1)

    def send(self, source, target, size, call, *arguments):
        self.bytes += size
        self.datagrams += size > 0
        if source.is_cut != target.is_cut and source is not target:
            return
        if source is not target and self.random.random() < self.loss:
            return
        delay_s = self.random.uniform(*self.delay_s) * (source is not target)
        self.later(delay_s, self.deliver, target, call, arguments)

    def deliver(self, target, call, arguments):
        if not target.is_up:
            return
        if target.is_frozen:
            # Datagrams wait in the socket until the host thaws.
            self.later(0.1, self.deliver, target, call, arguments)
            return
        call(*arguments)

    def update(self):
        self.later(UPDATE_S, self.update)
        leader = self.leader
        if leader is None or not leader.runs():
            return
        for host in self.hosts:
            self.send(leader, host, 0, self.hear, host, leader, self.fence)

    def hear(self, host, leader, fence):
        if fence < host.quotas.fence:
            return
        host.leader = leader
        host.host_count = len(self.hosts)
        host.quotas.record_contact(fence)
        # The demand report that each host sends anyway.
        if host.runs():
            self.send(host, leader, 0, self.meet, leader, host)

    def meet(self, leader, host):
        leader.heard_at[host.name] = self.now

    def tick(self, host):
        self.later(TICK_S, self.tick, host)
        if host.runs():
            self.report(host, host.quotas.list_due())

    def report(self, host, rows):
        if not rows or host.leader is None:
            return
        report = HostReport(
            host.name, host.quotas.started_at, self.now, tuple(rows)
        )
        size = measure(
            QuotaReport(
                host.quotas.fence,
                BOOTED_MS + int(report.started_at * MS),
                BOOTED_MS + int(self.now * MS),
                list(rows),
            )
        )
        self.send(
            host,
            host.leader,
            0 if host is host.leader else size,
            self.answer,
            host.leader,
            host,
            host.quotas.fence,
            report,
        )

    def answer(self, leader, host, fence, report):
        if leader is not self.leader or fence != self.fence:
            return
        leader.heard_at[host.name] = self.now
        oldest = self.now - IN_TOUCH_S
        present = sum(at >= oldest for at in leader.heard_at.values())
        count = len(self.hosts)
        grants = leader.ledger.receive(
            report, HostPresence(count, max(0, count - present))
        )
        size = measure(
            QuotaGrants(fence, BOOTED_MS + int(report.sent_at * MS), grants)
        )
        self.send(
            leader,
            host,
            0 if host is leader else size,
            host.quotas.receive,
            fence,
            report.sent_at,
            grants,
        )

    def request(self, host, account, cost):
        """Let a caller send a request."""
        if not host.is_up:
            return
        if host.is_frozen:
            return
        self.asked[account.name] += cost
        result = host.quotas.try_spend(account, cost)
        if result.decision is Decision.ASK_LEADER:
            host.quotas.change_urgent(account, cost)
            self.wait(host, host.quotas, account, cost, self.now + WAIT_S)
            return
        self.end(host, account, cost, result)

    def return_after(self, seconds, until):
        """Let requests end without a run, some time after they came."""
        self.returned_after_s = seconds
        self.returns_until = until

    def wait(self, host, quotas, account, cost, until):
        if host.quotas is not quotas or not host.runs():
            return
        result = quotas.try_again(account, cost)
        is_over = self.now >= until
        if result.decision is not Decision.ASK_LEADER or is_over:
            quotas.change_urgent(account, -cost)
            self.end(host, account, cost, result)
            return
        if self.now - host.asked_at >= ASK_EVERY_S:
            host.asked_at = self.now
            self.report(host, quotas.list_urgent())
        self.later(0.005, self.wait, host, quotas, account, cost, until)

    def end(self, host, account, cost, result):
        if result.decision is Decision.ADMITTED:
            if self.now < self.returns_until:
                self.later(
                    self.returned_after_s,
                    host.quotas.give_back,
                    account,
                    cost,
                    self.now,
                )
                return
            self.spends[account.name].append((self.now, cost))
        else:
            self.refused[account.name] += cost

    def play(self, account, per_s, pick_host, until, cost=(300, 1400)):
        """Send requests of an account at random times."""
        mean = sum(cost) / 2

        def arrive():
            if self.now >= until:
                return
            rate = per_s(self.now) if callable(per_s) else per_s
            self.later(self.random.expovariate(rate / mean), arrive)
            self.request(pick_host(self), account, self.random.randint(*cost))

        self.later(0, arrive)

    def worst_share(self, account, since=0):
        """Return the largest use in a window, as a share of the bound."""
        quota = account.quota
        bound = (quota.rate_per_s * WINDOW_S + quota.burst) * OVER + SLACK
        return self.worst_window(account.name, since) / bound

    def worst_window(self, name, since=0):
        window = collections.deque()
        total = worst = 0
        for at, cost in self.spends[name]:
            if at < since:
                continue
            window.append((at, cost))
            total += cost
            while window[0][0] <= at - WINDOW_S:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return worst

    def refused_share(self, account):
        return self.refused[account.name] / max(1, self.asked[account.name])


def measure(message):
    return len(encode_message(message))


def on_one(index=0):
    return lambda fleet: fleet.hosts[index]


def on_all(fleet):
    return fleet.random.choice(fleet.hosts)


def moving(every_s=2.0):
    def pick(fleet):
        return fleet.hosts[int(fleet.now / every_s * 7) % len(fleet.hosts)]

    return pick


def number_of(account):
    return identify_account(account.name)
