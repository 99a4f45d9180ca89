"""Sum by route what late and refused requests waited for.

Run ``python -m cassiarail.load.waits FILE...`` on logs of ``cassiarail-edge``.
"""

import collections
import json
import pathlib
from collections.abc import Mapping
from typing import Annotated, Any

import typer

from cassiarail.edge.events import REQUEST_ENDED

cli = typer.Typer(no_args_is_help=True)
_Fields = Mapping[str, Any]


def classify_request(fields: _Fields) -> str:
    """Return what a request of a line 2101 waited for the longest."""
    if fields['is_on_time']:
        return 'on time'
    if fields['response_after_s'] is None:
        return f'no response: {fields["ended"]}'
    first = fields['sent_after_s']
    last = fields['resent_after_s'] or first
    waits = {
        'model': fields['model_wait_s'],
        'host': first - fields['model_wait_s'],
        'another attempt': last - first,
        'target': fields['response_after_s'] - last,
    }
    return f'late: {max(waits, key=lambda each: waits[each])}'


class RouteWaits:
    """Count by route what requests waited for the longest.

    ``unreadable`` counts lines that a stopped host left incomplete.
    """

    def __init__(self) -> None:
        self.by_route: dict[str, collections.Counter[str]] = {}
        self.unreadable = 0

    def add_line(self, line: str) -> None:
        """Count a line of a log if it is the end of a request."""
        _prefix, brace, record = line.partition('{')
        if '"model_wait_s"' not in record:
            return
        try:
            fields = json.loads(brace + record)
        except json.JSONDecodeError:
            self.unreadable += 1
            return
        if fields['event'] == REQUEST_ENDED.number:
            counts = self.by_route.setdefault(
                fields['route'], collections.Counter()
            )
            counts[classify_request(fields)] += 1


@cli.command()
def sum_waits(
    logs: Annotated[list[pathlib.Path], typer.Argument(help='Logs of hosts.')],
) -> None:
    """Print for each route the waits and the share of its requests."""
    waits = RouteWaits()
    for log in logs:
        with log.open() as lines:
            for line in lines:
                waits.add_line(line)
    for route, counts in sorted(waits.by_route.items()):
        typer.echo(f'{route}: {counts.total()} requests')
        for wait, count in counts.most_common():
            typer.echo(f'  {count / counts.total():.3f} {count:6} {wait}')
    typer.echo(f'unreadable lines: {waits.unreadable}')


if __name__ == '__main__':
    cli()
