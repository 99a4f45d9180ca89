"""Play quotas over many seeds, started by hand; print the worst of each."""

import argparse

from tests.limits.quota_fleet import RATE, Fleet, make_account
from tests.limits.test_quotas import PLACES

SECONDS = 20
WARMUP_S = 2
# Usual use, near the limit, and eight times the usual use.
SHARES = (0.3, 0.95, 2.4)
ACCOUNTS = 16


def play(count, place, share, seed):
    account = make_account('a')
    fleet = Fleet(count, [account], seed, loss=0.005)
    fleet.run(WARMUP_S)
    fleet.play(account, RATE * share, PLACES[place], SECONDS)
    fleet.run(SECONDS - WARMUP_S)
    return (
        fleet.worst_share(account),
        fleet.refused_share(account),
        fleet.bytes / count / (SECONDS - WARMUP_S),
        fleet.datagrams / count / (SECONDS - WARMUP_S),
    )


def play_accounts(count, seed, share):
    """Return bytes a second and host if all accounts are used everywhere."""
    accounts = [make_account(f'account-{index}') for index in range(ACCOUNTS)]
    fleet = Fleet(count, accounts, seed, loss=0.005)
    fleet.run(WARMUP_S)
    weight = sum(1 / (index + 1) for index in range(ACCOUNTS))
    for index, account in enumerate(accounts):
        use = RATE * share / weight / (index + 1)
        fleet.play(account, use, PLACES['all'], SECONDS)
    fleet.run(SECONDS - WARMUP_S)
    refused = sum(map(fleet.refused_share, accounts)) / ACCOUNTS
    seconds = count * (SECONDS - WARMUP_S)
    return refused, fleet.bytes / seconds, fleet.datagrams / seconds


def main():
    """Play all cases and print their worst figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=8)
    parser.add_argument('--hosts', type=int, nargs='*', default=[6, 91, 380])
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    for count in options.hosts:
        for place in PLACES:
            for share in SHARES:
                figures = [play(count, place, share, seed) for seed in seeds]
                worst, refused, sent, datagrams = map(
                    max, zip(*figures, strict=True)
                )
                print(
                    f'{count} hosts, {place}, {share} of the rate: '
                    f'{worst:.3f} of the bound, refused {refused:.4f}, '
                    f'{sent:.0f} bytes, {datagrams:.1f} datagrams/s/host',
                    flush=True,
                )
        for share in (1.15, 2.4):
            refused, sent, datagrams = play_accounts(
                count, options.first, share
            )
            print(
                f'{count} hosts, {ACCOUNTS} accounts, {share} of the rate: '
                f'refused {refused:.4f}, {sent:.0f} bytes, '
                f'{datagrams:.1f} datagrams/s/host',
                flush=True,
            )


if __name__ == '__main__':
    main()
