"""Check the client accounts of a configuration."""

import collections
from collections.abc import Iterator, Sequence

from cassiarail.core.checks import CheckMessage, Severity
from cassiarail.edge.registry.configuration import Configuration
from cassiarail.security.accounts import AccountKeys, AccountQuota

_SHOWN_CHARS = 15


def check_accounts(configuration: Configuration) -> Iterator[CheckMessage]:
    """Yield the problems of all client accounts."""
    entries = configuration.accounts.entries
    yield from _check_uniqueness(entries)
    for entry in entries:
        path = f'$.accounts.{entry.account.name}'
        if not entry.digests:
            yield CheckMessage(
                'C040',
                f'{path}.keys',
                'no request belongs to the account: it has no key',
                severity=Severity.WARNING,
            )
        if not entry.account.name:
            yield CheckMessage('C041', path, 'the name is empty')
        if entry.unused_burst:
            yield CheckMessage(
                'C045',
                f'{path}.quota.burst',
                'has no effect: without a rate the use is not limited',
                severity=Severity.WARNING,
            )
        if entry.account.quota is not None:
            yield from _check_quota(entry.account.quota, path)


def _check_uniqueness(
    entries: Sequence[AccountKeys],
) -> Iterator[CheckMessage]:
    counts = collections.Counter(entry.account.name for entry in entries)
    for name, count in counts.items():
        if count > 1:
            yield CheckMessage(
                'C042', f'$.accounts.{name}', f'the name is used {count} times'
            )
    owners: dict[str, str] = {}
    for entry in entries:
        name = entry.account.name
        for digest in entry.digests:
            owner = owners.setdefault(digest, name)
            if owner != name:
                yield CheckMessage(
                    'C043',
                    f'$.accounts.{name}.keys',
                    f"account '{owner}' has the same key,"
                    f' {digest[:_SHOWN_CHARS]}...',
                )


def _check_quota(quota: AccountQuota, path: str) -> Iterator[CheckMessage]:
    if quota.burst < 0 or quota.rate_per_s < 0:
        yield CheckMessage('C044', f'{path}.quota', 'must not be negative')
    elif quota.rate_per_s + quota.burst < quota.compute_cost(0, 0):
        yield CheckMessage(
            'C046',
            f'{path}.quota',
            f'a request counts as {quota.compute_cost(0, 0):g}, and fewer'
            ' are granted in a second',
        )
