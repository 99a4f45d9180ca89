"""Convert targets and holdings to rows of state updates, and back."""

from collections.abc import Iterable, Iterator

from cassiarail.core.events import emit_event
from cassiarail.edge.events import PEER_UNREADABLE
from cassiarail.edge.fleet.messages import (
    EngineRow,
    FailedRequestRow,
    TargetRow,
)
from cassiarail.edge.registry.targets import Holdings, Target
from cassiarail.edge.requests.suspects import CrashSuspects
from cassiarail.http1.pool import Address

# Failed requests are repeated for this long, so that a lost datagram doesn't
# matter.
_FAILURES_WITHIN_S = 10.0
_MAX_FAILURES = 20


def describe_target(target: Target) -> TargetRow:
    """Return the row of an entry of the registry."""
    return TargetRow(
        target.instance,
        target.revision,
        target.born_ms,
        target.service,
        str(target.address),
        target.data_centre,
        target.slots,
        target.is_leaving,
        _list_models(target.holdings),
        sorted(target.holdings.in_memory),
        sorted(target.holdings.on_disk),
    )


def read_target(row: TargetRow) -> Target:
    """Return the entry of a row; raise ``ValueError`` for a bad address."""
    return Target(
        row.instance,
        row.born_ms,
        row.service,
        Address.parse(row.address),
        row.data_centre,
        row.slots,
        row.is_leaving,
        Holdings(
            _read_models(row.models),
            frozenset(row.in_memory),
            frozenset(row.on_disk),
        ),
        row.revision,
    )


def read_targets(rows: Iterable[TargetRow]) -> Iterator[Target]:
    """Yield the entries of rows; log and leave out those that are invalid."""
    for row in rows:
        try:
            yield read_target(row)
        except ValueError as error:
            emit_event(PEER_UNREADABLE, peer=row.address, error=str(error))


def read_holdings(row: EngineRow) -> Holdings:
    """Return the holdings in an engine's row."""
    return Holdings(_read_models(row.models), order_count=row.order_count)


def _list_models(holdings: Holdings) -> dict[str, list[str]]:
    return {
        model: sorted(adapters) for model, adapters in holdings.models.items()
    }


def _read_models(models: dict[str, list[str]]) -> dict[str, frozenset[str]]:
    return {model: frozenset(names) for model, names in models.items()}


def list_failed_requests(suspects: CrashSuspects) -> list[FailedRequestRow]:
    """Return the rows of recent requests whose targets may have crashed."""
    recent = suspects.list_recent(_FAILURES_WITHIN_S)
    return [
        FailedRequestRow(failure.fingerprint, *failure.target)
        for failure, _index in zip(recent, range(_MAX_FAILURES), strict=False)
    ]
