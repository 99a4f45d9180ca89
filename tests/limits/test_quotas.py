"""Test that accounts stay below their quotas, and get what they may use.

The bound holds over any window and all hosts, in touch or not. Each case plays
callers against the decisions of hosts and their leader in virtual time.
"""

import pytest

from cassiarail.limits.quota_bounds import RETURN_S, compute_bounds
from cassiarail.limits.quotas import Decision
from tests.limits.quota_fleet import (
    RATE,
    RULES,
    SLACK,
    Fleet,
    make_account,
    moving,
    on_all,
    on_one,
)

PLACES = {'one': on_one(1), 'all': on_all, 'moving': moving()}
# A twentieth of the use beyond the quota may be refused below it in overload.
SERVED = 0.95


def play(count, seed, *, share, pick, seconds=14, change=None, loss=0.005):
    account = make_account('a')
    fleet = Fleet(count, [account], seed, loss=loss)
    fleet.run(2)
    fleet.play(account, RATE * share, pick, seconds)
    if change is not None:
        change(fleet, account)
    fleet.run(seconds - fleet.now)
    return fleet, account


@pytest.mark.parametrize('count', [6, 91, 380])
@pytest.mark.parametrize('place', PLACES)
def test_nothing_is_refused_below_the_quota(count, place):
    fleet, account = play(count, 1, share=0.95, pick=PLACES[place])
    assert fleet.refused_share(account) <= 0.005
    assert fleet.worst_share(account) <= 1


@pytest.mark.parametrize('count', [6, 91, 380])
@pytest.mark.parametrize('place', PLACES)
def test_eight_times_the_usual_stays_below_the_bound(count, place):
    fleet, account = play(count, 2, share=2.4, pick=PLACES[place])
    assert fleet.worst_share(account) <= 1
    used = sum(cost for _at, cost in fleet.spends['a'])
    assert used >= SERVED * RATE * 12


@pytest.mark.parametrize('seed', range(4))
def test_hosts_that_are_cut_off_share_the_bound(seed):
    def cut(fleet, account):
        for host in fleet.hosts[::3]:
            fleet.later(4, setattr, host, 'is_cut', True)
            fleet.later(9, setattr, host, 'is_cut', False)

    fleet, account = play(
        30, seed, share=2.4, pick=on_all, change=cut, seconds=20
    )
    assert fleet.worst_share(account) <= 1


@pytest.mark.parametrize('seed', range(4))
def test_hosts_without_a_leader_share_the_bound(seed):
    def stop_leader(fleet, account):
        fleet.later(4, fleet.lead, None)
        fleet.later(10, fleet.lead, fleet.hosts[5])

    fleet, account = play(
        30, seed, share=2.4, pick=on_all, change=stop_leader, seconds=22
    )
    assert fleet.worst_share(account) <= 1


@pytest.mark.parametrize('seed', range(4))
def test_frozen_and_restarted_hosts_share_the_bound(seed):
    def change(fleet, account):
        for host in fleet.hosts[::2]:
            at = 3 + 4 * fleet.random.random()
            fleet.later(at, setattr, host, 'is_frozen', True)
            fleet.later(at + 7 * fleet.random.random(), thaw, host)
        for host in fleet.hosts[1::2]:
            fleet.later(3 + 4 * fleet.random.random(), host.restart)

    def thaw(host):
        host.is_frozen = False

    fleet, account = play(
        30, seed, share=2.4, pick=on_all, change=change, seconds=20
    )
    assert fleet.worst_share(account) <= 1


def test_fleet_recovers_after_most_hosts_are_killed():
    def kill(fleet, account):
        for host in fleet.hosts[:55]:
            fleet.later(
                4 + 2 * fleet.random.random(), setattr, host, 'is_up', False
            )
        # The next leader is elected when the lease of the last one expires.
        fleet.later(8.4, fleet.lead, fleet.hosts[60])
        fleet.later(14, mark)

    def mark():
        refused.append(fleets[0].refused['a'])

    refused, fleets = [], []
    account = make_account('a')
    fleet = Fleet(91, [account], 1)
    fleets.append(fleet)
    fleet.run(2)
    fleet.play(
        account,
        RATE * 0.3,
        lambda each: each.random.choice(
            [host for host in each.hosts if host.is_up]
        ),
        24,
    )
    kill(fleet, account)
    fleet.run(24 - fleet.now)
    assert fleet.worst_share(account) <= 1
    late = fleet.refused['a'] - refused[0]
    assert late <= 0.005 * RATE * 0.3 * 8


def test_lower_quota_binds_soon():
    lower = make_account('a', RATE / 4)

    def reduce(fleet, account):
        fleet.later(6, apply, fleet)

    def apply(fleet):
        for host in fleet.hosts:
            host.ledger.change_accounts([lower])
        fleet.replaced = lower

    account = make_account('a')
    fleet = Fleet(30, [account], 3)
    fleet.run(2)
    fleet.replaced = None
    original = fleet.request
    fleet.request = lambda host, each, cost: original(
        host, fleet.replaced or each, cost
    )
    fleet.play(account, RATE * 2.4, on_all, 26)
    reduce(fleet, account)
    fleet.run(24)
    # It is acknowledged at 8, and binds a window and 3 s later.
    assert fleet.worst_share(lower, since=11) <= 1


def test_accounts_are_quiet_without_use():
    fleet = Fleet(30, [make_account('a')], 1)
    fleet.run(5)
    assert not fleet.bytes


@pytest.mark.parametrize('burst', [0, 1, 100, RATE])
def test_parts_of_the_bound_add_up(burst):
    quota = make_account('a', RATE, burst).quota
    bounds = compute_bounds(quota, RULES)
    stock = bounds.pool + bounds.fresh + bounds.takeover
    allowed = 1.1 * (8 * RATE + burst) + SLACK
    # What is given back may be of before the window.
    added = (8 + RETURN_S) * bounds.refill_per_s
    assert stock + added == pytest.approx(allowed)
    assert stock > burst


def test_units_of_requests_that_have_not_run_stay_within_the_bound():
    account = make_account('a')
    fleet = Fleet(6, [account], 1)
    fleet.run(2)
    # Until 9, hosts are so full that no request runs.
    fleet.return_after(3.0, until=9)
    fleet.play(account, RATE * 2.4, on_all, 24)
    fleet.run(22)
    assert fleet.worst_share(account) <= 1


def test_quota_that_was_removed_for_a_time_binds_as_before():
    account = make_account('a')
    unlimited = account._replace(quota=None)
    fleet = Fleet(6, [account], 1)
    fleet.run(2)
    fleet.play(account, RATE * 2.4, on_all, 24)
    for host in fleet.hosts:
        # The leader applies both configurations at once.
        fleet.later(10, host.quotas.try_spend, unlimited, 1)
    fleet.run(22)
    assert fleet.worst_share(account) <= 1


def test_request_above_the_pool_is_refused_without_asking():
    account = make_account('a', 1000, 0)
    fleet = Fleet(6, [account], 1)
    fleet.run(2)
    pool = compute_bounds(account.quota, RULES).pool
    quotas = fleet.hosts[1].quotas
    assert quotas.try_spend(account, pool).decision is Decision.ASK_LEADER
    assert quotas.try_spend(account, pool + 1).decision is Decision.REFUSED


def test_slack_admits_requests_of_a_small_quota():
    account = make_account('a', 200, 100)
    assert compute_bounds(account.quota).pool < 300
    fleet = Fleet(6, [account], 1)
    # The pool is empty when the first leader begins.
    fleet.run(40)
    fleet.play(account, 60, on_all, 140)
    fleet.run(100)
    assert fleet.asked['a'] > 3000
    assert not fleet.refused['a']
    assert fleet.worst_share(account) <= 1


@pytest.mark.parametrize('seed', range(3))
def test_many_hosts_without_a_leader_serve_a_part(seed):
    def stop_leader(fleet, account):
        fleet.later(4, fleet.lead, None)

    fleet, account = play(
        380, seed, share=0.4, pick=on_all, change=stop_leader, seconds=30
    )
    # What leaders granted has expired at 10.
    late = sum(cost for at, cost in fleet.spends['a'] if at > 12)
    assert late >= RATE * 0.16 * 18
    assert fleet.worst_share(account) <= 1


@pytest.mark.parametrize('seed', range(3))
def test_many_hosts_that_are_cut_off_share_the_bound(seed):
    def cut(fleet, account):
        for host in fleet.hosts[::2]:
            fleet.later(4, setattr, host, 'is_cut', True)
            fleet.later(14, setattr, host, 'is_cut', False)

    fleet, account = play(
        380, seed, share=4, pick=on_all, change=cut, seconds=20
    )
    assert fleet.worst_share(account) <= 1


def test_a_request_above_the_pool_takes_nothing_from_the_others():
    account = make_account('a')
    fleet = Fleet(6, [account], 1, loss=0)
    fleet.run(2)
    for host in fleet.hosts:
        refused = host.quotas.try_spend(account, 10.0**40)
        assert refused.decision is Decision.REFUSED
        assert all(row.ahead < 10**6 for row in host.quotas.list_due())
    fleet.play(account, RATE * 0.5, on_all, 8)
    fleet.run(8)
    assert fleet.refused_share(account) <= 0.005
