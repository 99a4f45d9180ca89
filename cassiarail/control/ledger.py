"""Account for the memory that is reserved at one target.

The functions accept a ledger and return a changed copy. A key is charged
from before its load order is sent until the target's report no longer lists
it and no load order for it can still take effect.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from typing_extensions import TypedDict

from cassiarail.core.exceptions import (
    ControlError,
    OvercommittedMemoryError,
    StaleFenceError,
)
from cassiarail.core.invariants import Invariants
from cassiarail.placement.backends.base import HoldingKey

LEDGER_KIND = 'ledger'
_KEY_SEPARATOR = '|'


class EntryState(enum.Enum):
    """List the states of a charged key."""

    RESERVED = 'reserved'
    HELD = 'held'
    RELEASING = 'releasing'


class OrderKind(enum.Enum):
    """List the kinds of orders that a target accepts."""

    LOAD_MODEL = 'load_model'
    UNLOAD_MODEL = 'unload_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_ADAPTER = 'unload_adapter'
    SET_ROLE = 'set_role'
    FENCE = 'fence'


LOAD_KINDS = frozenset(
    (OrderKind.LOAD_MODEL.value, OrderKind.LOAD_ADAPTER.value),
)
UNLOAD_KINDS = frozenset(
    (OrderKind.UNLOAD_MODEL.value, OrderKind.UNLOAD_ADAPTER.value),
)


class EntryDocument(TypedDict):
    """Hold the bytes charged for one key on all accelerators together.

    ``bytes`` is the size of the weights and ``kv_reserve_bytes`` that of the
    reserved KV cache; both are multiples of the number of accelerators.
    """

    bytes: int
    kv_reserve_bytes: int
    state: str


class SendDocument(TypedDict):
    """Describe an order that may still take effect at the target."""

    order_id: str
    kind: str
    key: str
    fence: int
    instance: str


class LedgerDocument(TypedDict):
    """Hold the ledger of one target, object ``ledger/{target}``.

    ``entries`` maps formatted keys to charges, ``sends`` maps order ids to
    unresolved orders. An empty ``instance`` means that no report was read yet.
    """

    target: str
    accelerators: int
    capacity_bytes: int
    checks_fence: bool
    fence: int
    instance: str
    entries: dict[str, EntryDocument]
    sends: dict[str, SendDocument]


class TargetSpec(NamedTuple):
    """Describe a target as it is declared."""

    name: str
    address: str
    service: str
    accelerators: int
    accelerator_memory_bytes: int
    checks_fence: bool

    @property
    def capacity_bytes(self) -> int:
        """Return the memory of all accelerators together."""
        return self.accelerators * self.accelerator_memory_bytes


def format_key(key: HoldingKey) -> str:
    """Return a key as text for a ledger."""
    return _KEY_SEPARATOR.join(key)


def parse_key(text: str) -> HoldingKey:
    """Return the key from the text that ``format_key`` returned."""
    return HoldingKey(*text.split(_KEY_SEPARATOR))


def create_ledger(spec: TargetSpec, fence: int) -> LedgerDocument:
    """Return the ledger of a target before its first report is read."""
    return LedgerDocument(
        target=spec.name,
        accelerators=spec.accelerators,
        capacity_bytes=spec.capacity_bytes,
        checks_fence=spec.checks_fence,
        fence=fence,
        instance='',
        entries={},
        sends={},
    )


def round_bytes(size: int, accelerators: int) -> int:
    """Return a size rounded up to an equal share for each accelerator."""
    return -(-size // accelerators) * accelerators


def sum_charges(ledger: LedgerDocument) -> int:
    """Return the bytes reserved at a target."""
    return sum(
        entry['bytes'] + entry['kv_reserve_bytes']
        for entry in ledger['entries'].values()
    )


def require_capacity(ledger: LedgerDocument, invariants: Invariants) -> None:
    """Require that the charges of a ledger fit in its target's memory."""
    charged = sum_charges(ledger)
    invariants.require(
        charged <= ledger['capacity_bytes'],
        'memory_within_capacity',
        target=ledger['target'],
        charged_bytes=charged,
        capacity_bytes=ledger['capacity_bytes'],
    )


def find_sends(
    ledger: LedgerDocument,
    key: HoldingKey,
    kinds: frozenset[str],
) -> list[SendDocument]:
    """Return the unresolved orders of some kinds for a key."""
    text = format_key(key)
    return [
        send
        for send in ledger['sends'].values()
        if send['key'] == text and send['kind'] in kinds
    ]


def is_live(ledger: LedgerDocument, key: HoldingKey) -> bool:
    """Return whether a key is held and no unload of it is unresolved."""
    entry = ledger['entries'].get(format_key(key))
    if entry is None or entry['state'] != EntryState.HELD.value:
        return False
    return not find_sends(ledger, key, UNLOAD_KINDS)


def reserve(
    ledger: LedgerDocument,
    key: HoldingKey,
    size: int,
    kv_reserve_bytes: int = 0,
) -> LedgerDocument:
    """Charge a key before its load is sent; keep an existing charge.

    Raises ``OvercommittedMemoryError`` if it doesn't fit, and
    ``ControlError`` while an unload of the key may still take effect or
    before the first report of the target is read.
    """
    if not ledger['instance']:
        raise ControlError(f'{ledger["target"]}: no report was read yet')
    if find_sends(ledger, key, UNLOAD_KINDS):
        raise ControlError(f'{format_key(key)}: an unload is unresolved')
    if format_key(key) in ledger['entries']:
        return ledger
    accelerators = ledger['accelerators']
    entry = EntryDocument(
        bytes=round_bytes(size, accelerators),
        kv_reserve_bytes=round_bytes(kv_reserve_bytes, accelerators),
        state=EntryState.RESERVED.value,
    )
    changed = _put_entry(ledger, key, entry)
    if sum_charges(changed) > ledger['capacity_bytes']:
        raise OvercommittedMemoryError(
            f'{ledger["target"]}: not enough memory for {format_key(key)}',
        )
    return changed


def record_send(ledger: LedgerDocument, send: SendDocument) -> LedgerDocument:
    """Record an order before it is sent; an unload marks its entry.

    Raises ``StaleFenceError`` for an order with an older fencing token and
    ``ControlError`` for a load of a key that isn't charged.
    """
    if send['fence'] < ledger['fence']:
        raise StaleFenceError(
            f'{ledger["target"]}: a higher fencing token is set'
        )
    entry = ledger['entries'].get(send['key'])
    if entry is None and send['kind'] in LOAD_KINDS:
        raise ControlError(f'{send["key"]}: memory is not reserved')
    sends = {**ledger['sends'], send['order_id']: send}
    changed = LedgerDocument(**{**ledger, 'sends': sends})
    if entry is not None and send['kind'] in UNLOAD_KINDS:
        return _set_state(changed, send['key'], EntryState.RELEASING)
    return changed


def remove_sends(
    ledger: LedgerDocument,
    order_ids: Iterable[str],
) -> LedgerDocument:
    """Remove orders that can no longer take effect."""
    resolved = frozenset(order_ids)
    sends = {
        order_id: send
        for order_id, send in ledger['sends'].items()
        if order_id not in resolved
    }
    return LedgerDocument(**{**ledger, 'sends': sends})


def mark_held(
    ledger: LedgerDocument,
    key: HoldingKey,
    size: int = 0,
    kv_reserve_bytes: int = 0,
) -> LedgerDocument:
    """Mark a key as held that the target's report lists as ready.

    A key without a charge is charged with the given sizes. An entry with an
    unresolved unload is unchanged.
    """
    text = format_key(key)
    if text not in ledger['entries']:
        accelerators = ledger['accelerators']
        entry = EntryDocument(
            bytes=round_bytes(size, accelerators),
            kv_reserve_bytes=round_bytes(kv_reserve_bytes, accelerators),
            state=EntryState.HELD.value,
        )
        return _put_entry(ledger, key, entry)
    if find_sends(ledger, key, UNLOAD_KINDS):
        return ledger
    return _set_state(ledger, text, EntryState.HELD)


def release(ledger: LedgerDocument, key: HoldingKey) -> LedgerDocument:
    """Stop charging a key that the target's report doesn't list.

    Raises ``ControlError`` while a load of the key may still take effect.
    """
    if find_sends(ledger, key, LOAD_KINDS):
        raise ControlError(f'{format_key(key)}: a load is unresolved')
    entries = dict(ledger['entries'])
    entries.pop(format_key(key), None)
    return LedgerDocument(**{**ledger, 'entries': entries})


def raise_fence(ledger: LedgerDocument, fence: int) -> LedgerDocument:
    """Set a higher fencing token in a ledger.

    Raises ``StaleFenceError`` if the ledger has a higher token.
    """
    if ledger['fence'] > fence:
        raise StaleFenceError(
            f'{ledger["target"]}: a higher fencing token is set'
        )
    return LedgerDocument(**{**ledger, 'fence': fence})


def apply_spec(ledger: LedgerDocument, spec: TargetSpec) -> LedgerDocument:
    """Apply the declared capacity and fence check of the target.

    The capacity never falls below the charged bytes. At that limit nothing
    more can be reserved.
    """
    capacity_bytes = max(spec.capacity_bytes, sum_charges(ledger))
    return LedgerDocument(
        **{
            **ledger,
            'capacity_bytes': capacity_bytes,
            'checks_fence': spec.checks_fence,
        },
    )


def list_keys(
    ledger: LedgerDocument,
    states: Iterable[EntryState] = EntryState,
) -> frozenset[HoldingKey]:
    """Return the charged keys in some states."""
    names = frozenset(state.value for state in states)
    entries: Mapping[str, EntryDocument] = ledger['entries']
    return frozenset(
        parse_key(text)
        for text, entry in entries.items()
        if entry['state'] in names
    )


def _put_entry(
    ledger: LedgerDocument,
    key: HoldingKey,
    entry: EntryDocument,
) -> LedgerDocument:
    entries = {**ledger['entries'], format_key(key): entry}
    return LedgerDocument(**{**ledger, 'entries': entries})


def _set_state(
    ledger: LedgerDocument,
    text: str,
    state: EntryState,
) -> LedgerDocument:
    entry = EntryDocument(
        **{**ledger['entries'][text], 'state': state.value},
    )
    return _put_entry(ledger, parse_key(text), entry)
