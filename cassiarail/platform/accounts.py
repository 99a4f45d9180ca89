"""Decode the client accounts of the operator's configuration."""

from typing import Any

import msgspec

from cassiarail.security.accounts import (
    AccountKeys,
    AccountQuota,
    ClientAccount,
)
from cassiarail.security.keys import compute_key_digest

_QUOTA_UNIT = 'tokens'
_TENANTS = 'tenants'
_KEYS = 'api_keys'
_DIGESTS = 'key_digests'


class Tenant(msgspec.Struct):
    """Define a client account; ``rate_per_s`` and ``burst`` count units.

    ``key_digests`` stand for keys in copies of a configuration between hosts.
    """

    name: str
    api_keys: list[str] = []
    key_digests: list[str] = []
    priority: int | None = None
    unit: str = ''
    plain_tokens: float = 1
    rate_per_s: float = 0
    burst: float = 0


class _KeyDocument(msgspec.Struct):
    """Define the part of a configuration that holds keys."""

    tenants: list[Tenant] = []


def hide_keys(document: Any) -> Any:
    """Return a copy of a configuration with digests in place of the keys."""
    tenants = [
        {
            **{name: tenant[name] for name in tenant if name != _KEYS},
            _DIGESTS: [
                *map(compute_key_digest, tenant.get(_KEYS, ())),
                *tenant.get(_DIGESTS, ()),
            ],
        }
        for tenant in document.get(_TENANTS, ())
    ]
    return {**document, _TENANTS: tenants} if tenants else document


def list_keys(document: Any) -> list[str]:
    """Return the keys in a configuration, also if it is invalid otherwise."""
    try:
        tenants = msgspec.convert(document, _KeyDocument).tenants
    except ValueError:
        return []
    return [key for tenant in tenants for key in tenant.api_keys]


def convert_account(tenant: Tenant) -> AccountKeys:
    """Return an account with the digests of its keys; keys aren't kept."""
    quota = AccountQuota(
        tenant.rate_per_s,
        tenant.burst,
        tenant.unit == _QUOTA_UNIT,
        tenant.plain_tokens,
    )
    has_quota = tenant.rate_per_s > 0
    account = ClientAccount(
        tenant.name, tenant.priority, quota if has_quota else None
    )
    return AccountKeys(
        account,
        [*map(compute_key_digest, tenant.api_keys), *tenant.key_digests],
        0 if has_quota else tenant.burst,
    )
