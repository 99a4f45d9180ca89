"""Share options and exits among the programs."""

import pathlib
from collections.abc import Callable
from typing import Annotated, Any

import typer

from cassiarail.conf.loader import RejectedSettingsError, load_settings
from cassiarail.core.version import read_version

EXIT_FAILED = 1
EXIT_REJECTED = 2


def _print_version(wanted: bool) -> None:
    if wanted:
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


def load_or_exit(
    path: pathlib.Path,
    shape: Any,
    read_secret: Callable[[pathlib.Path], bytes],
) -> tuple[Any, bytes]:
    """Return settings and the peers' secret, or exit with all problems.

    The secret's path is relative to the folder of the settings.
    """
    try:
        settings = load_settings(path, shape)
    except RejectedSettingsError as error:
        typer.echo(error.message, err=True)
        raise typer.Exit(EXIT_REJECTED) from error
    try:
        secret = read_secret(path.parent / settings['peer_secret_file'])
    except RejectedSettingsError as error:
        typer.echo(error.message, err=True)
        raise typer.Exit(EXIT_REJECTED) from error
    return settings, secret
