"""Remember which rows of engines were sent to the hosts."""

from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.edge.fleet.messages import EngineRow

# All rows are repeated over this many regular reports, a few in each.
_REPEAT_REPORTS = 20


class _SentRow(NamedTuple):
    """Hold what was last sent about an engine."""

    born_ms: int
    order_count: int
    models: dict[str, list[str]]


class SentRows:
    """Choose the rows of engines that have to be sent."""

    def __init__(self) -> None:
        self._sent: dict[str, _SentRow] = {}

    def choose(
        self,
        rows: Iterable[EngineRow],
        report: int | None,
    ) -> list[EngineRow]:
        """Return the rows that changed.

        ``report`` counts regular reports, which also repeat some rows that
        didn't change; it is ``None`` for others.
        """
        remainder = None if report is None else report % _REPEAT_REPORTS
        return [
            row
            for index, row in enumerate(rows)
            if self._sent.get(row.instance) != _summarize(row)
            or index % _REPEAT_REPORTS == remainder
        ]

    def record(self, rows: Iterable[EngineRow]) -> None:
        """Record that rows were sent."""
        for row in rows:
            self._sent[row.instance] = _summarize(row)

    def clear(self) -> None:
        """Forget all rows, so that they are sent again."""
        self._sent.clear()


def _summarize(row: EngineRow) -> _SentRow:
    return _SentRow(row.born_ms, row.order_count, row.models)
