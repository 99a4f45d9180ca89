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
    """Return the problems of the exceptions and of their matches."""
    known_names = _list_known_names(declarations)
    exceptions_by_match: dict[_MatchKey, dict[str, str]] = {}
    for exception in declarations['exceptions']:
        path = f'exceptions/{exception["name"]}'
        if not exception['reason'].strip():
            yield CheckMessage(
                'D014',
                f'{path}.reason',
                'the exception has no reason',
                'state why the default does not fit',
            )
        if not exception['match']:
            yield CheckMessage(
                'D028',
                f'{path}.match',
                'the match of the exception is empty',
                'change the defaults if it should always apply',
            )
        for key, name in exception['match'].items():
            if str(name) not in known_names[key]:
                yield CheckMessage(
                    'D015',
                    f'{path}.match.{key}',
                    f"there is no {key} '{name}'",
                )
        yield from check_policy(f'{path}.set', exception['set'])
        yield from _check_target_names(
            path, exception['set'], known_names['target']
        )
        match = frozenset(
            f'{key}={expected}' for key, expected in exception['match'].items()
        )
        yield from _check_conflicts(path, exception, exceptions_by_match, match)


def _check_conflicts(
    path: str,
    exception: ExceptionDocument,
    exceptions_by_match: dict[_MatchKey, dict[str, str]],
    match: _MatchKey,
) -> Iterator[CheckMessage]:
    earlier = exceptions_by_match.setdefault(match, {})
    for key in exception['set']:
        if key in earlier:
            yield CheckMessage(
                'D016',
                f'{path}.set.{key}',
                f"exception '{earlier[key]}' sets it for the same match",
            )
        earlier.update({key: exception['name']})


def _check_target_names(
    path: str,
    policy: Policy,
    targets: Iterable[str],
) -> Iterator[CheckMessage]:
    referenced = [
        *policy.get('pinned_targets', []),
        *policy.get('forbidden_targets', []),
    ]
    for name in sorted(set(referenced).difference(targets)):
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
