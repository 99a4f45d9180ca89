"""Define the option ``--version`` of all programs."""

from typing import Annotated

import typer

from cassiarail.core.version import read_version


def _print_version(requested: bool) -> None:
    if requested:
        typer.echo(read_version())
        raise typer.Exit


VersionOption = Annotated[
    bool,
    typer.Option(
        '--version',
        callback=_print_version,
        is_eager=True,
        help='Print the version and exit.',
    ),
]
