"""Define ``cassiarail-ctl check-configuration``."""

import hashlib
import pathlib
from typing import Annotated, Any

import anyio
import msgspec
import typer

from cassiarail.commands.options import EXIT_FAILED, EXIT_REJECTED
from cassiarail.core.checks import CheckMessage, has_errors
from cassiarail.core.exceptions import CassiarailError
from cassiarail.declarations.differences import Difference, find_differences
from cassiarail.edge.configuration_checks.checks import check_configuration
from cassiarail.edge.dialect import UnreadableDocumentError
from cassiarail.edge.registry.configuration import Configuration
from cassiarail.http1.pool import Address
from cassiarail.platform.accounts import list_keys
from cassiarail.platform.dialect import PlatformDialect
from cassiarail.platform.store import PlatformStore

_DIGEST_CHARS = 12

ConfigurationPath = Annotated[
    pathlib.Path, typer.Argument(help='JSON configuration to be sent.')
]
InForce = Annotated[
    pathlib.Path | None,
    typer.Option('--in-force', help='JSON configuration that it replaces.'),
]
Store = Annotated[
    str,
    typer.Option(
        '--store',
        help="IP:PORT of the platform's store that holds the one in force.",
    ),
]
Name = Annotated[
    str, typer.Option(help='KIND/NAME of the configuration in the store.')
]
StopTime = Annotated[
    float | None,
    typer.Option(help='Seconds between the stop signal and the kill.'),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


def check_configuration_file(
    path: ConfigurationPath,
    in_force: InForce = None,
    store: Store = '',
    name: Name = 'config/main',
    stop_s: StopTime = None,
    as_json: AsJson = False,
) -> None:
    """Check a configuration before it is sent, and show what it changes.

    Exits with 2 if there are errors and with 1 if the one in force can't be
    read.
    """
    document = _read_file(path)
    before = _read_in_force(in_force, store, name)
    try:
        configuration = _decode(document)
        replaced = None if before is None else _decode(before)
    except UnreadableDocumentError as error:
        problems = [CheckMessage('C001', '$', error.message)]
    else:
        problems = check_configuration(configuration, replaced, stop_s)
    differences: list[Difference] = []
    if before is not None:
        differences = list(
            find_differences(_hide_keys(before), _hide_keys(document), '$')
        )
    _print(problems, differences, as_json=as_json)
    if has_errors(problems):
        raise typer.Exit(EXIT_REJECTED)


def _decode(document: Any) -> Configuration:
    return PlatformDialect().decode_configuration(document)


def _read_file(path: pathlib.Path) -> Any:
    try:
        return msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        typer.echo(f'C001 {path}: {error}', err=True)
        raise typer.Exit(EXIT_REJECTED) from error


def _read_in_force(
    path: pathlib.Path | None, store: str, name: str
) -> Any | None:
    if path is not None:
        return _read_file(path)
    if not store:
        return None
    try:
        return anyio.run(_read_store, Address.parse(store), name)
    except (CassiarailError, ValueError) as error:
        typer.echo(f'the configuration in force is not readable: {error}')
        raise typer.Exit(EXIT_FAILED) from error


async def _read_store(address: Address, name: str) -> Any | None:
    kind, _, object_name = name.partition('/')
    store = PlatformStore(address)
    try:
        stored = await store.read(kind, object_name)
    finally:
        await store.aclose()
    return stored.document if stored else None


def _hide_keys(document: Any) -> Any:
    """Return a copy with a digest in place of each key of an account."""
    text = msgspec.json.encode(document).decode()
    for key in list_keys(document):
        digest = hashlib.sha256(key.encode()).hexdigest()[:_DIGEST_CHARS]
        encoded = msgspec.json.encode(key).decode()
        text = text.replace(encoded, f'"sha256:{digest}"')
    return msgspec.json.decode(text)


def _print(
    problems: list[CheckMessage],
    differences: list[Difference],
    *,
    as_json: bool,
) -> None:
    if as_json:
        report = {
            'problems': [
                {
                    **problem._asdict(),
                    'severity': problem.severity.value,
                }
                for problem in problems
            ],
            'differences': [each._asdict() for each in differences],
        }
        typer.echo(msgspec.json.encode(report).decode())
        return
    for problem in problems:
        typer.echo(f'{problem.severity.value} {problem.format_line()}')
    for difference in differences:
        typer.echo(
            f'{difference.path}: {difference.before!r} -> {difference.after!r}'
        )
