"""Remember which rows of engines the hosts were told."""

from collections.abc import Iterable
from typing import NamedTuple

from cassiarail.edge.messages import EngineRow

# All rows are repeated after this many regular reports, a few at each.
_REPEAT_REPORTS = 20


class _Sent(NamedTuple):
    """Hold what was told of an engine."""

    born_ms: int
    order_count: int
    models: dict[str, list[str]]


class SentRows:
    """Choose the rows of engines that hosts don't know."""

    def __init__(self) -> None:
        self._sent: dict[str, _Sent] = {}

    def choose(
        self,
        rows: Iterable[EngineRow],
        report: int | None,
    ) -> list[EngineRow]:
        """Return the rows that changed.

        ``report`` counts regular reports, which also repeat some rows that
        didn't change; it is ``None`` for others.
        """
        turn = None if report is None else report % _REPEAT_REPORTS
        return [
            row
            for index, row in enumerate(rows)
            if self._sent.get(row.instance) != _summarise(row)
            or index % _REPEAT_REPORTS == turn
        ]

    def note(self, rows: Iterable[EngineRow]) -> None:
        """Note that rows were told."""
        for row in rows:
            self._sent[row.instance] = _summarise(row)

    def clear(self) -> None:
        """Tell all rows again."""
        self._sent.clear()


def _summarise(row: EngineRow) -> _Sent:
    return _Sent(row.born_ms, row.order_count, row.models)
