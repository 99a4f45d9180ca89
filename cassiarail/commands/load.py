"""Define the program ``cassiarail-load``."""

import pathlib
import random
from typing import Annotated, Any, NoReturn

import httpx
import msgspec
import typer

from cassiarail.core.checks import CheckMessage
from cassiarail.core.clock import LoopClock
from cassiarail.core.loops import run_real
from cassiarail.core.transports import create_tcp_transport
from cassiarail.core.version import read_version
from cassiarail.load.audit import Audit, list_violations
from cassiarail.load.client import LoadClient
from cassiarail.load.compare import Comparison, compare_reports
from cassiarail.load.generator import LoadGenerator
from cassiarail.load.plot import plot_reports
from cassiarail.load.report import (
    RunLabels,
    SystemFigures,
    build_report,
    read_reports,
    write_report,
)
from cassiarail.load.scenario import (
    ScenarioDocument,
    ScenarioError,
    read_scenario,
)
from cassiarail.standins.records import ExecutionRecords, omit_earlier

_EXIT_FAILED = 1
_EXIT_REJECTED = 2
_READ_TIMEOUT_S = 60
program = typer.Typer(add_completion=False, no_args_is_help=True)


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(read_version())
        raise typer.Exit


@program.callback()
def configure(
    version: Annotated[
        bool,
        typer.Option('--version', callback=_print_version, is_eager=True),
    ] = False,
) -> None:
    """Generate load on gateways, and compare and plot the reports."""


@program.command()
def run(
    scenario: Annotated[pathlib.Path, typer.Option(help='JSON scenario')],
    report: Annotated[pathlib.Path, typer.Option(help='report to write')],
    seed: Annotated[int, typer.Option(help='seed of the requests')] = 1,
) -> None:
    """Send the load of a scenario; exit 1 if a guarantee was violated."""
    try:
        document = read_scenario(scenario)
    except ScenarioError as error:
        _reject(error)
    try:
        violations = run_real(_run, document, report, seed)
    except httpx.HTTPError as error:
        typer.echo(
            f'the control port of the stand-ins did not respond: {error!r}',
            err=True,
        )
        raise typer.Exit(_EXIT_FAILED) from error
    for name in violations:
        typer.echo(f'guarantee violated: {name}', err=True)
    if violations:
        raise typer.Exit(_EXIT_FAILED)


@program.command()
def compare(
    first: Annotated[pathlib.Path, typer.Argument(help='report or folder')],
    second: Annotated[pathlib.Path, typer.Argument(help='report or folder')],
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Print ratios of the second to the first reports over common seeds."""
    try:
        comparisons = compare_reports(read_reports(first), read_reports(second))
    except ScenarioError as error:
        _reject(error)
    if not comparisons:
        typer.echo('the two sets of reports have no seed in common', err=True)
        raise typer.Exit(_EXIT_FAILED)
    if as_json:
        rows = [row._asdict() for row in comparisons]
        typer.echo(msgspec.json.encode(rows).decode())
        return
    for row in comparisons:
        typer.echo(_format_row(row))


@program.command()
def plot(
    reports: Annotated[list[pathlib.Path], typer.Argument(help='reports')],
    output: Annotated[pathlib.Path, typer.Option(help='SVG to write')],
) -> None:
    """Draw the figures of reports by policy as SVG."""
    try:
        loaded = [entry for path in reports for entry in read_reports(path)]
    except ScenarioError as error:
        _reject(error)
    plot_reports(loaded, output)


def main() -> None:
    """Run the program."""
    program()


async def _run(
    scenario: ScenarioDocument,
    path: pathlib.Path,
    seed: int,
) -> list[str]:
    clock = LoopClock()
    client = LoadClient(
        scenario,
        create_tcp_transport(),
        clock,
        random.Random(f'client {seed}'),
    )
    plan = LoadGenerator(scenario, random.Random(seed)).plan()
    control = _ControlClient(scenario['control_address'])
    faults = await control.read('faults')
    initial_calls = await control.count_calls()
    earlier_records = await control.read('records')
    await client.run(plan)
    calls = await control.count_calls() - initial_calls
    # An earlier run on the same stand-ins may have sent the same requests.
    records = ExecutionRecords.restore(
        clock, omit_earlier(await control.read('records'), earlier_records)
    )
    objective = scenario['objective']
    counters = Audit(client.outcomes, records).count(
        objective['first_token_s'], objective['inter_token_s']
    )
    built_report = build_report(
        counters,
        client.outcomes,
        client.gaps,
        RunLabels(
            seed,
            scenario['policy'],
            scenario['accelerators'],
            tuple(faults['faults']),
        ),
        SystemFigures(store_calls_per_second=calls / client.duration_s),
    )
    write_report(path, built_report)
    return list_violations(counters)


class _ControlClient:
    """Read documents from the control port of the stand-ins."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def read(self, path: str) -> Any:
        """Return a JSON document of the control port."""
        async with httpx.AsyncClient(timeout=_READ_TIMEOUT_S) as client:
            response = await client.get(f'http://{self._address}/{path}')
        return response.raise_for_status().json()

    async def count_calls(self) -> int:
        """Return the number of requests to the object API."""
        document = await self.read('calls')
        return sum(entry['count'] for entry in document['calls'])


def _reject(error: ScenarioError) -> NoReturn:
    for line in map(CheckMessage.format_line, error.problems):
        typer.echo(line, err=True)
    raise typer.Exit(_EXIT_REJECTED) from error


def _format_row(row: Comparison) -> str:
    if row.ratio is None:
        return f'{row.name}: {row.first:.4g} -> {row.second:.4g}'
    return (
        f'{row.name}: {row.first:.4g} -> {row.second:.4g}, ratio'
        f' {row.ratio:.3f} [{row.low:.3f}, {row.high:.3f}],'
        f' {row.seeds} seeds'
    )
