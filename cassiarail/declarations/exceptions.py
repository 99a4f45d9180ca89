"""Check the operators' exceptions to the defaults."""

from collections.abc import Iterable, Iterator

from cassiarail.core.checks import CheckMessage
from cassiarail.declarations.policies import check_policy
from cassiarail.declarations.resolve import index_models, index_services
from cassiarail.declarations.schema import (
    DeclarationsDocument,
    ExceptionDocument,
    Policy,
)

_MatchKey = frozenset[str]


def check_exceptions(
    declarations: DeclarationsDocument,
) -> Iterator[CheckMessage]:
    """Return the problems of the exceptions and of what they match."""
    known = _list_known_names(declarations)
    seen: dict[_MatchKey, dict[str, str]] = {}
    for exception in declarations['exceptions']:
        path = f'exceptions/{exception["name"]}'
        if not exception['reason'].strip():
            yield CheckMessage(
                'D014',
                f'{path}.reason',
                'the exception gives no reason',
                'say why the default does not fit',
            )
        if not exception['match']:
            yield CheckMessage(
                'D028',
                f'{path}.match',
                'an exception needs something to match',
                'change the defaults if it should apply to all',
            )
        for key, name in exception['match'].items():
            if str(name) not in known[key]:
                yield CheckMessage(
                    'D015',
                    f'{path}.match.{key}',
                    f"there is no {key} '{name}'",
                )
        yield from check_policy(f'{path}.set', exception['set'])
        yield from _check_pinned(path, exception['set'], known['target'])
        match = frozenset(
            f'{part}={wanted}' for part, wanted in exception['match'].items()
        )
        yield from _check_conflicts(path, exception, seen, match)


def _check_conflicts(
    path: str,
    exception: ExceptionDocument,
    seen: dict[_MatchKey, dict[str, str]],
    match: _MatchKey,
) -> Iterator[CheckMessage]:
    earlier = seen.setdefault(match, {})
    for key in exception['set']:
        if key in earlier:
            yield CheckMessage(
                'D016',
                f'{path}.set.{key}',
                f"exception '{earlier[key]}' sets it for the same match",
            )
        earlier.update({key: exception['name']})


def _check_pinned(
    path: str,
    policy: Policy,
    targets: Iterable[str],
) -> Iterator[CheckMessage]:
    named = [
        *policy.get('pinned_targets', []),
        *policy.get('forbidden_targets', []),
    ]
    for name in sorted(set(named).difference(targets)):
        yield CheckMessage(
            'D018',
            f'{path}.set',
            f"there is no target '{name}'",
        )


def _list_known_names(
    declarations: DeclarationsDocument,
) -> dict[str, set[str]]:
    services = declarations['services']
    return {
        'model': set(index_models(declarations)),
        'service': set(index_services(declarations)),
        'caller': {caller['name'] for caller in declarations['callers']},
        'data_centre': set(declarations['fleet']['data_centres']),
        'target': {
            target['name']
            for service in services
            for target in service['targets']
        },
    }
