"""Define the program ``cassiarail-demo``."""

import errno
import logging as standard_logging
import pathlib
import resource
import socket
import sys
import time
from collections.abc import Iterable
from typing import Annotated

import typer
from absl import logging

from cassiarail.commands.options import EXIT_FAILED
from cassiarail.commands.version import VersionOption
from cassiarail.declarations.loader import load_folder
from cassiarail.load.report import ReportDocument, write_report
from cassiarail.standins.faults import FaultName
from cassiarail.testbed.layout import derive_layout
from cassiarail.testbed.runner import RunResult, RunSettings, run_on_loopback

program = typer.Typer(add_completion=False)
_DEFAULT_FOLDER = pathlib.Path('examples/salines')
_DEFAULT_REPORT = pathlib.Path('out/demo.json')
_BYTES_PER_KIBIBYTE = 1024
# The whole deployment shares one core here, so responses are short.
_TOKENS_MAX = 6
_TIMEOUT_S = 5.0


@program.command()
def run(
    folder: Annotated[
        pathlib.Path,
        typer.Option('--declarations', help='Folder of declarations.'),
    ] = _DEFAULT_FOLDER,
    report: Annotated[
        pathlib.Path,
        typer.Option(help='Report to write.'),
    ] = _DEFAULT_REPORT,
    seed: Annotated[int, typer.Option(help='Seed of load and faults.')] = 1,
    seconds: Annotated[float, typer.Option(help='Duration of load.')] = 40,
    rate: Annotated[float, typer.Option(help='Requests a second.')] = 22,
    faults: Annotated[int, typer.Option(help='Number of faults.')] = 9,
    break_promise: Annotated[
        FaultName | None,
        typer.Option(help='Test option: a defect to inject.'),
    ] = None,
    version: VersionOption = False,
) -> None:
    """Run a deployment with bursts and faults; exit 1 on any violation."""
    logging.set_verbosity(logging.FATAL)
    standard_logging.getLogger('grpclib').setLevel(standard_logging.CRITICAL)
    settings = RunSettings(
        folder,
        seed,
        seconds,
        rate,
        faults=faults,
        tokens_max=_TOKENS_MAX,
        timeout_s=_TIMEOUT_S,
        defects=(break_promise,) if break_promise else (),
    )
    initial_cpu_s = time.process_time()
    used_address = find_used_address(_list_addresses(folder, settings))
    if used_address is not None:
        typer.echo(f'cannot listen on {used_address}: address in use', err=True)
        raise typer.Exit(EXIT_FAILED)
    run_result = run_on_loopback(settings)
    report_with_usage = _add_usage(
        run_result.report,
        time.process_time() - initial_cpu_s,
        seconds,
    )
    write_report(report, report_with_usage)
    _print_report(run_result._replace(report=report_with_usage), report)
    if run_result.violations:
        raise typer.Exit(EXIT_FAILED)


def find_used_address(addresses: Iterable[str]) -> str | None:
    """Return the first address that is already in use."""
    for address in addresses:
        host, _, port = address.rpartition(':')
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, int(port)))
            except OSError as error:
                if error.errno == errno.EADDRINUSE:
                    return address
                raise
    return None


def _list_addresses(
    folder: pathlib.Path,
    settings: RunSettings,
) -> list[str]:
    declarations, _problems = load_folder(folder)
    layout = derive_layout(
        declarations,
        settings.hosts_per_data_centre,
        settings.seed,
    )
    return [
        layout.store_url.removeprefix('http://'),
        *(gateway['callers']['address'] for gateway in layout.gateways),
    ]


def _add_usage(
    report: ReportDocument,
    cpu_s: float,
    seconds: float,
) -> ReportDocument:
    """Add upper bounds of the CPU time and memory of the control plane.

    The deployment runs in one process here, whose total usage is the bound.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    report['control_cpu_share_per_node'] = min(1, cpu_s / seconds)
    report['control_rss_bytes_per_node'] = usage.ru_maxrss * _BYTES_PER_KIBIBYTE
    return report


def _print_report(run_result: RunResult, path: pathlib.Path) -> None:
    report = run_result.report
    lines = (
        f'requests          {report["requests"]}',
        f'  answered        {report["answered"]}',
        f'  refused         {report["refused_not_run"]} (not run)',
        f'  uncertain       {report["uncertain"]}',
        f'first token p95   {report["first_token_seconds_p95"]:.3f} s',
        f'between tokens    {report["inter_token_seconds_p95"]:.3f} s (p95)',
        f'attainment        {report["attainment"]:.3f}',
        f'moves             {report["moves"]}',
        f'faults            {", ".join(report["faults"])}',
        f'report            {path}',
    )
    for line in lines:
        typer.echo(line)
    for name in run_result.violations:
        typer.echo(f'guarantee violated: {name}', err=True)
    if not run_result.violations:
        typer.echo('all guarantees upheld')
    sys.stdout.flush()


def main() -> None:
    """Run the program."""
    program()
