"""Define settings loading and exit codes for all programs."""

import pathlib
from collections.abc import Callable
from typing import Any

import typer

from cassiarail.conf.files import RejectedSettingsError
from cassiarail.conf.loader import load_settings

EXIT_FAILED = 1
EXIT_REJECTED = 2


def load_or_exit(
    path: pathlib.Path,
    schema: Any,
    read_secret: Callable[[pathlib.Path], bytes],
) -> tuple[Any, bytes]:
    """Return settings and the peer secret, or print all problems and exit.

    The path of the secret is relative to the folder of the settings.
    """
    try:
        settings = load_settings(path, schema)
    except RejectedSettingsError as error:
        typer.echo(error.message, err=True)
        raise typer.Exit(EXIT_REJECTED) from error
    try:
        secret = read_secret(path.parent / settings['peer_secret_file'])
    except RejectedSettingsError as error:
        typer.echo(error.message, err=True)
        raise typer.Exit(EXIT_REJECTED) from error
    return settings, secret
