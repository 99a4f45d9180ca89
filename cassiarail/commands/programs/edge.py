"""Define the program ``cassiarail-edge``."""

import gc
import pathlib
import sys
from typing import Annotated

import typer

from cassiarail.commands.version import VersionOption
from cassiarail.conf.edge import EdgeSettings, load_edge_settings
from cassiarail.conf.files import RejectedSettingsError
from cassiarail.core.clock import LoopClock
from cassiarail.core.events import add_sink
from cassiarail.core.loops import run_real
from cassiarail.edge.process import EdgeDependencies, EdgeProcess
from cassiarail.http1.pool import Address
from cassiarail.platform.dialect import PlatformDialect
from cassiarail.platform.store import PlatformStore
from cassiarail.telemetry.line_writer import LineWriter

_EXIT_REJECTED = 2
# High thresholds make full collections rare, because their pauses delay
# streams; reference counts free nearly all objects of a request.
_GC_THRESHOLDS = (20_000, 20, 100)

program = typer.Typer(add_completion=False)


async def run_edge(settings: EdgeSettings, path: pathlib.Path) -> None:
    """Run an edge host until it is signalled to stop."""
    log_writer = LineWriter(sys.stdout.fileno(), LoopClock().now)
    add_sink(log_writer)
    store = PlatformStore(Address.parse(settings['object_api']))
    process = EdgeProcess(
        settings,
        path,
        EdgeDependencies(PlatformDialect(), store, store),
        log_writer,
    )
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    try:
        await process.application.run(handle_signals=True)
    finally:
        await store.aclose()
        log_writer.flush()


@program.command()
def serve(
    settings: Annotated[
        pathlib.Path,
        typer.Argument(envvar='CASSIARAIL_SETTINGS', help='JSON settings'),
    ],
    version: VersionOption = False,
) -> None:
    """Forward callers' requests to targets and send orders to engines."""
    try:
        document = load_edge_settings(settings)
    except RejectedSettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_REJECTED) from error
    run_real(run_edge, document, settings)
