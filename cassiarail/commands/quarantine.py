"""Define ``cassiarail-ctl quarantine``, for prompts that crash targets."""

import contextlib
import datetime as dt
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import anyio
import msgspec
import typer

from cassiarail.commands.options import EXIT_FAILED, EXIT_REJECTED
from cassiarail.core.exceptions import CassiarailError, VersionConflictError
from cassiarail.edge.crashes.documents import (
    QUARANTINE_KIND,
    QUARANTINE_NAME,
    QuarantineDocument,
    ban_parts,
    decode_quarantines,
    release_parts,
)
from cassiarail.http1.pool import Address
from cassiarail.platform.store import PlatformStore

program = typer.Typer(
    no_args_is_help=True,
    help='Show, release and ban parts of prompts that crash targets.',
)
# A leader writes the same object when it finds or clears a part.
_ATTEMPTS = 5

Change = Callable[[QuarantineDocument], QuarantineDocument]
Store = Annotated[
    str,
    typer.Option('--store', help="IP:PORT of the platform's store."),
]
Parts = Annotated[
    list[str],
    typer.Argument(help='Parts that come together, as in the 2114 lines.'),
]
Reason = Annotated[str, typer.Option(help='Reason to record.')]


@program.command('list')
def list_quarantines(store: Store) -> None:
    """Print the quarantined parts as JSON lines, and the released ones."""
    document = _run_or_exit(_read, _parse_address(store))
    for entry in (*document.entries, *document.released):
        typer.echo(msgspec.json.encode(entry).decode())


@program.command()
def release(parts: Parts, store: Store, reason: Reason) -> None:
    """Accept requests with these parts again, after their model is mended."""
    now = dt.datetime.now(dt.UTC).timestamp()
    _run_or_exit(
        _change,
        _parse_address(store),
        lambda document: release_parts(document, parts, reason, now),
    )


@program.command()
def ban(parts: Parts, store: Store, reason: Reason) -> None:
    """Refuse requests that contain all these parts, until they are released."""
    now = dt.datetime.now(dt.UTC).timestamp()
    _run_or_exit(
        _change,
        _parse_address(store),
        lambda document: ban_parts(document, parts, reason, now),
    )


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_REJECTED) from error


def _run_or_exit(
    function: Callable[..., Awaitable[Any]], *positional: Any
) -> Any:
    try:
        return anyio.run(function, *positional)
    except CassiarailError as error:
        typer.echo(f'{error.error_id} {error.message}', err=True)
    except msgspec.ValidationError as error:
        typer.echo(f'the stored object is unreadable: {error}', err=True)
    raise typer.Exit(EXIT_FAILED)


async def _read(address: Address) -> QuarantineDocument:
    store = PlatformStore(address)
    try:
        stored = await store.read(QUARANTINE_KIND, QUARANTINE_NAME)
    finally:
        await store.aclose()
    return decode_quarantines(stored.document if stored else None)


async def _change(address: Address, change: Change) -> None:
    store = PlatformStore(address)
    try:
        await _write_repeatedly(store, change)
    finally:
        await store.aclose()


async def _write_repeatedly(store: PlatformStore, change: Change) -> None:
    attempts = _ATTEMPTS
    while attempts > 1:
        attempts -= 1
        with contextlib.suppress(VersionConflictError):
            return await _write(store, change)
    return await _write(store, change)


async def _write(store: PlatformStore, change: Change) -> None:
    stored = await store.read(QUARANTINE_KIND, QUARANTINE_NAME)
    document = decode_quarantines(stored.document if stored else None)
    changed = msgspec.to_builtins(change(document))
    if stored is None:
        await store.create(QUARANTINE_KIND, QUARANTINE_NAME, changed)
    else:
        await store.replace(
            QUARANTINE_KIND, QUARANTINE_NAME, changed, stored.version
        )
