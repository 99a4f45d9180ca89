"""Define the program ``cassiarail-standins``."""

import pathlib
import sys
from typing import Annotated

import anyio
import msgspec
import typer

from cassiarail.core.checks import CheckMessage, has_errors
from cassiarail.core.clock import LoopClock
from cassiarail.core.lifecycle import Application, Component
from cassiarail.core.loops import run_real
from cassiarail.core.version import read_version
from cassiarail.standins.application import Standins
from cassiarail.standins.control import ControlApi
from cassiarail.standins.fault_injection import FaultInjector
from cassiarail.standins.listeners import TcpListener
from cassiarail.standins.settings import (
    StandinsDocument,
    check_settings,
    list_addresses,
)

_EXIT_REJECTED = 2
_LOOPBACK = '127.'
program = typer.Typer(add_completion=False)


class _ControlListener(Component):
    """Serve the control port and print all addresses once they are open."""

    name = 'control'

    def __init__(self, standins: Standins, listener: TcpListener) -> None:
        self._standins = standins
        self._listener = listener

    async def start(self) -> None:
        """Inject the faults of the settings and open the control port."""
        settings = self._standins.settings
        injector = FaultInjector(self._standins, LoopClock())
        for fault in settings['faults']:
            injector.apply(fault)
        api = ControlApi(self._standins, injector)
        self._listener.listen(settings['control_address'], api.application)
        addresses = list_addresses(settings)
        for address in addresses.values():
            await self._listener.wait_until_open(address)
        typer.echo(msgspec.json.encode(addresses).decode())
        sys.stdout.flush()

    async def run(self) -> None:
        """Wait until the program is stopped."""
        await anyio.sleep_forever()


async def _serve(settings: StandinsDocument) -> None:
    async with anyio.create_task_group() as group:
        listener = TcpListener(group)
        standins = Standins(settings, LoopClock(), listener)
        components = [standins, _ControlListener(standins, listener)]
        await Application('standins', components).run(handle_signals=True)
        listener.close()


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(read_version())
        raise typer.Exit


@program.command()
def serve(
    settings: Annotated[pathlib.Path, typer.Argument(help='JSON settings')],
    version: Annotated[
        bool,
        typer.Option('--version', callback=_print_version, is_eager=True),
    ] = False,
) -> None:
    """Serve the stand-ins of a deployment on loopback ports."""
    problems = _check_file(settings)
    for problem in problems:
        typer.echo(problem.format_line(), err=True)
    if has_errors(problems):
        raise typer.Exit(_EXIT_REJECTED)
    run_real(_serve, msgspec.json.decode(settings.read_bytes()))


def _check_file(path: pathlib.Path) -> list[CheckMessage]:
    try:
        document = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        return [CheckMessage('S066', str(path), str(error))]
    problems = check_settings(document)
    if problems:
        return problems
    return [
        CheckMessage('S067', f'$.{name}', f'{address} is not on loopback')
        for name, address in list_addresses(document).items()
        if not address.startswith(_LOOPBACK)
    ]


def main() -> None:
    """Run the program."""
    program()
