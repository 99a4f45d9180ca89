"""Define the program ``cassiarail-ctl``."""

import getpass
import pathlib
import random
import secrets
import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Any

import anyio
import httpx
import msgspec
import typer

from cassiarail.commands import quarantine
from cassiarail.commands.configuration import check_configuration_file
from cassiarail.commands.options import EXIT_FAILED, EXIT_REJECTED
from cassiarail.commands.version import VersionOption
from cassiarail.conf.files import RejectedSettingsError
from cassiarail.conf.loader import load_settings
from cassiarail.conf.schema import OperatorSettings, PeerSettings
from cassiarail.control.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ConfigurationConflictError,
    apply_configuration,
)
from cassiarail.controller.explain import explain_model, explain_placement
from cassiarail.core.clock import LoopClock
from cassiarail.core.exceptions import CassiarailError
from cassiarail.declarations.differences import (
    Impact,
    compare_declarations,
)
from cassiarail.declarations.loader import (
    RejectedDeclarationsError,
    load_folder,
)
from cassiarail.declarations.schema import (
    ConfigurationDocument,
    DeclarationsDocument,
)
from cassiarail.security.keys import compute_key_digest
from cassiarail.store.backends.http import HttpObjectStore

program = typer.Typer(add_completion=False, no_args_is_help=True)
program.add_typer(quarantine.program, name='quarantine')
program.command('check-configuration')(check_configuration_file)
_KEY_BYTES = 24
_ROLLOUT_TIMEOUT_S = 3.0
_POLL_INTERVAL_S = 0.1
_STATUS_TIMEOUT_S = 1.0
_Document = dict[str, Any]

Folder = Annotated[
    pathlib.Path,
    typer.Argument(help='Folder of declarations.'),
]
Settings = Annotated[
    pathlib.Path,
    typer.Option('--settings', help='JSON settings of operators.'),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]


@program.callback()
def configure(version: VersionOption = False) -> None:
    """Check, compare, apply and explain declarations."""


@program.command()
def check(folder: Folder, as_json: AsJson = False) -> None:
    """Check declarations without any connection."""
    declarations, warnings = _load_folder(folder, as_json=as_json)
    summary = {
        'models': len(declarations['models']),
        'exceptions': len(declarations['exceptions']),
        'warnings': [warning.format_line() for warning in warnings],
    }
    _print(summary, as_json=as_json)


@program.command()
def diff(folder: Folder, settings: Settings, as_json: AsJson = False) -> None:
    """Show what applying declarations would change."""
    declarations, _ = _load_folder(folder, as_json=as_json)
    current = _run_or_exit(_read_configuration, _load_settings(settings))
    impact = compare_declarations(
        current['declarations'] if current else None,
        declarations,
    )
    _print(_describe_impact(current, impact), as_json=as_json)


@program.command()
def apply(
    folder: Folder,
    settings: Settings,
    generation: Annotated[
        int | None,
        typer.Option(help='Generation that you reviewed with diff.'),
    ] = None,
    author: Annotated[str, typer.Option(help='Author to record.')] = '',
    as_json: AsJson = False,
) -> None:
    """Apply declarations and wait until every controller uses them."""
    declarations, _ = _load_folder(folder, as_json=as_json)
    accepted = _run_or_exit(
        _apply,
        _load_settings(settings),
        declarations,
        generation,
        author or getpass.getuser(),
    )
    _print(accepted, as_json=as_json)
    if accepted['behind'] or accepted['unreachable']:
        raise typer.Exit(EXIT_FAILED)


@program.command()
def explain(
    model: Annotated[str, typer.Argument(help='Name of a model.')],
    folder: Folder,
    settings: Annotated[
        pathlib.Path | None,
        typer.Option('--settings', help='Adds the current placement.'),
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Explain the origin of a model's settings and its placement."""
    declarations, _ = _load_folder(folder, as_json=as_json)
    if model not in {each['name'] for each in declarations['models']}:
        typer.echo(f"model '{model}' does not exist", err=True)
        raise typer.Exit(EXIT_REJECTED)
    explanation = explain_model(declarations, model)
    if settings is not None:
        statuses = _run_or_exit(_read_statuses, _load_settings(settings))
        explanation['placement'] = explain_placement(
            model,
            [each['placement'] for each in statuses.values()],
        )
    _print(explanation, as_json=as_json)


@program.command()
def status(settings: Settings, as_json: AsJson = False) -> None:
    """Show nodes, targets, memory and the replicas of each model."""
    document = _load_settings(settings)
    statuses = _run_or_exit(_read_statuses, document)
    names = {peer['name'] for peer in document['controllers']}
    overview = _summarise(statuses, sorted(names.difference(statuses)))
    _print(overview, as_json=as_json)
    if overview['unreachable']:
        raise typer.Exit(EXIT_FAILED)


@program.command()
def lift(fingerprint: str, settings: Settings) -> None:
    """Lift the quarantine of a request fingerprint."""
    document = _load_settings(settings)
    _run_or_exit(_lift_quarantine, document['controllers'], fingerprint)


@program.command()
def key() -> None:
    """Create a key for a caller, and the digest to declare for it."""
    text = secrets.token_urlsafe(_KEY_BYTES)
    typer.echo(f'key: {text}')
    typer.echo(f'digest: {compute_key_digest(text)}')


def _load_folder(
    folder: pathlib.Path,
    *,
    as_json: bool,
) -> tuple[DeclarationsDocument, Sequence[Any]]:
    try:
        return load_folder(folder)
    except RejectedDeclarationsError as error:
        lines = [problem.format_line() for problem in error.problems]
        _print({'problems': lines}, as_json=as_json, err=not as_json)
        raise typer.Exit(EXIT_REJECTED) from error


def _load_settings(path: pathlib.Path) -> OperatorSettings:
    try:
        settings: OperatorSettings = load_settings(path, OperatorSettings)
    except RejectedSettingsError as error:
        typer.echo(error.message, err=True)
        raise typer.Exit(EXIT_REJECTED) from error
    return settings


def _run_or_exit(function: Callable[..., Any], *positional: Any) -> Any:
    try:
        return anyio.run(function, *positional)
    except ConfigurationConflictError as error:
        typer.echo(f'{error.error_id} {error.message}', err=True)
        typer.echo(error.hint, err=True)
        raise typer.Exit(EXIT_FAILED) from error
    except CassiarailError as error:
        typer.echo(f'{error.error_id} {error.message}', err=True)
        raise typer.Exit(EXIT_FAILED) from error


async def _read_configuration(
    settings: OperatorSettings,
) -> ConfigurationDocument | None:
    store = HttpObjectStore(settings['object_api'])
    try:
        stored = await store.read(CONFIGURATION_KIND, CONFIGURATION_NAME)
    finally:
        await store.aclose()
    return stored.document if stored else None


async def _apply(
    settings: OperatorSettings,
    declarations: DeclarationsDocument,
    reviewed_generation: int | None,
    author: str,
) -> _Document:
    clock = LoopClock()
    if reviewed_generation is None:
        current = await _read_configuration(settings)
        reviewed_generation = current['generation'] if current else 0
    store = HttpObjectStore(settings['object_api'])
    try:
        generation = await apply_configuration(
            store,
            reviewed_generation,
            declarations,
            author,
            uuid.uuid4().hex,
            clock,
            random.Random(),
        )
    finally:
        await store.aclose()
    return await _wait_for_rollout(settings, generation)


async def _wait_for_rollout(
    settings: OperatorSettings,
    generation: int,
) -> _Document:
    """Wait until all controllers use a generation, or for the time limit.

    Return which controllers use it, and the seconds that passed.
    """
    started_at = anyio.current_time()
    names = [peer['name'] for peer in settings['controllers']]
    while True:
        statuses = await _read_statuses(settings)
        behind = [
            name
            for name, each in statuses.items()
            if each['generation'] < generation
        ]
        unreachable = sorted(set(names).difference(statuses))
        elapsed_s = anyio.current_time() - started_at
        if (not behind and not unreachable) or elapsed_s > _ROLLOUT_TIMEOUT_S:
            return {
                'generation': generation,
                'seconds': round(elapsed_s, 3),
                'in_force': sorted(set(statuses).difference(behind)),
                'behind': behind,
                'unreachable': unreachable,
            }
        await anyio.sleep(_POLL_INTERVAL_S)


async def _read_statuses(settings: OperatorSettings) -> dict[str, _Document]:
    statuses: dict[str, _Document] = {}
    async with (
        httpx.AsyncClient(timeout=_STATUS_TIMEOUT_S) as client,
        anyio.create_task_group() as group,
    ):
        for peer in settings['controllers']:
            group.start_soon(_read_status, client, peer, statuses)
    return statuses


async def _read_status(
    client: httpx.AsyncClient,
    peer: PeerSettings,
    statuses: dict[str, _Document],
) -> None:
    try:
        response = await client.get(f'http://{peer["address"]}/v1/status')
    except httpx.HTTPError:
        return
    if response.status_code == httpx.codes.OK:
        statuses[peer['name']] = msgspec.json.decode(response.content)


async def _lift_quarantine(
    controllers: Sequence[PeerSettings],
    fingerprint: str,
) -> None:
    async with httpx.AsyncClient(timeout=_STATUS_TIMEOUT_S) as client:
        for peer in controllers:
            url = f'http://{peer["address"]}/v1/quarantine/{fingerprint}'
            try:
                await client.delete(url)
            except httpx.HTTPError:
                typer.echo(f'{peer["name"]} is unreachable', err=True)


def _describe_impact(
    current: ConfigurationDocument | None,
    impact: Impact,
) -> _Document:
    return {
        'generation': current['generation'] if current else 0,
        'differences': [
            {'path': each.path, 'before': each.before, 'after': each.after}
            for each in impact.differences
        ],
        'models': impact.models,
        'targets': impact.targets,
    }


def _summarise(
    statuses: Mapping[str, _Document],
    unreachable: list[str],
) -> _Document:
    placements = [
        each['placement'] for each in statuses.values() if each['placement']
    ]
    quarantined: set[str] = set()
    for each in statuses.values():
        quarantined.update(each['quarantined'])
    replicas: dict[str, int] = {}
    targets = {}
    for placement in placements:
        for target in placement['targets']:
            targets[target['name']] = {
                'memory_bytes': target['memory_bytes'],
                'charged_bytes': target['charged_bytes'],
                'reached': target['reached'],
                'leaving': target['leaving'],
            }
            for holding in target['live']:
                replicas[holding] = replicas.get(holding, 0) + 1
    return {
        'generations': {
            name: each['generation'] for name, each in statuses.items()
        },
        'leases': {
            name: each['fence']
            for name, each in statuses.items()
            if each['holds_lease']
        },
        'targets': targets,
        'replicas': dict(sorted(replicas.items())),
        'quarantined': sorted(
            {
                name
                for each in statuses.values()
                for name in each['quarantined']
            },
        ),
        'unreachable': unreachable,
    }


def _print(
    document: Mapping[str, Any],
    *,
    as_json: bool,
    err: bool = False,
) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(document).decode())
        return
    for line in _format_lines(document, ''):
        typer.echo(line, err=err)


def _format_lines(document: Mapping[str, Any], indent: str) -> list[str]:
    lines = []
    for name, entry in document.items():
        if isinstance(entry, dict):
            lines.append(f'{indent}{name}:')
            lines.extend(_format_lines(entry, f'{indent}  '))
        elif isinstance(entry, list):
            lines.append(f'{indent}{name}: {len(entry)}')
            lines.extend(f'{indent}  - {each}' for each in entry)
        else:
            lines.append(f'{indent}{name}: {entry}')
    return lines


def main() -> None:
    """Run the program."""
    program()
