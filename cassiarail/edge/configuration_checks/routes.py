"""Check the routes of a configuration."""

from collections.abc import Iterator

from cassiarail.core.checks import CheckMessage, Severity, suggest_name
from cassiarail.edge.registry.configuration import (
    Configuration,
    Route,
    RouteKind,
)

_SLASH = '/'


def check_routes(configuration: Configuration) -> Iterator[CheckMessage]:
    """Yield the problems of all routes."""
    yield from _check_uniqueness(configuration)
    for route in configuration.routes:
        path = f'$.routes.{route.name}'
        yield from _check_address(route, path)
        yield from _check_shares(configuration, route, path)
        yield from _check_times(route, path)
        yield from _check_repeats(route, path)
    yield from _check_anonymous(configuration)


def _check_uniqueness(configuration: Configuration) -> Iterator[CheckMessage]:
    names: set[str] = set()
    first_names: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        path = f'$.routes.{route.name}'
        if route.name in names:
            yield CheckMessage('C010', path, 'another route has this name')
        names.add(route.name)
        first = first_names.setdefault(
            (route.host, route.path_prefix), route.name
        )
        if first != route.name:
            yield CheckMessage(
                'C011',
                path,
                f"never matches: route '{first}' has the same host and prefix",
            )


def _check_address(route: Route, path: str) -> Iterator[CheckMessage]:
    prefix = route.path_prefix
    if not (prefix.startswith(_SLASH) and prefix.endswith(_SLASH)):
        yield CheckMessage(
            'C012',
            f'{path}.path_prefix',
            f"'{prefix}' does not begin and end with a slash",
        )
    if '?' in prefix or '#' in prefix:
        yield CheckMessage(
            'C013',
            f'{path}.path_prefix',
            'never matches: a path has neither a query nor a fragment',
        )
    if not route.host or ':' in route.host or _SLASH in route.host:
        yield CheckMessage(
            'C014',
            f'{path}.host',
            f"never matches: '{route.host}' is no host name without a port",
        )


def _check_shares(
    configuration: Configuration, route: Route, path: str
) -> Iterator[CheckMessage]:
    if not any(share.weight > 0 for share in route.shares):
        yield CheckMessage(
            'C015', f'{path}.shares', 'no service has a positive weight'
        )
    for share in route.shares:
        share_path = f'{path}.shares.{share.service}'
        if share.service not in configuration.services:
            yield CheckMessage(
                'C016',
                share_path,
                f"there is no service '{share.service}'",
                suggest_name(share.service, configuration.services),
            )
        if share.weight <= 0 < len(route.shares) - 1:
            yield CheckMessage(
                'C017',
                share_path,
                f'gets no request: its weight is {share.weight}',
                severity=Severity.WARNING,
            )


def _check_times(route: Route, path: str) -> Iterator[CheckMessage]:
    if route.timeout_s <= 0:
        yield CheckMessage('C018', f'{path}.timeout', 'must be positive')
    elif route.timeout_s < route.objective_s:
        yield CheckMessage(
            'C019',
            f'{path}.timeout',
            f'{route.timeout_s:g} s end requests before their objective,'
            f' {route.objective_s:g} s',
        )
    if route.pause_s and not route.is_stream:
        yield CheckMessage(
            'C020',
            f'{path}.pause',
            f'has no effect on a route of kind {route.kind.value}',
            severity=Severity.WARNING,
        )
    if route.pause_s > route.timeout_s:
        yield CheckMessage(
            'C021',
            f'{path}.pause',
            f'{route.pause_s:g} s exceed the timeout, {route.timeout_s:g} s',
        )


def _check_repeats(route: Route, path: str) -> Iterator[CheckMessage]:
    if route.attempts < 1:
        yield CheckMessage(
            'C022', f'{path}.attempts', 'no target may run a request'
        )
    elif route.attempts > 1 and not route.may_repeat:
        yield CheckMessage(
            'C023',
            f'{path}.attempts',
            f'{route.attempts} targets are never tried after a run: requests'
            ' of this route run at most once',
            severity=Severity.WARNING,
        )
    if route.can_resume and not route.is_stream:
        yield CheckMessage(
            'C024',
            f'{path}.can_resume',
            f'has no effect on a route of kind {route.kind.value}',
            severity=Severity.WARNING,
        )
    if route.kind is RouteKind.NON_IDEMPOTENT and route.can_resume:
        yield CheckMessage(
            'C025',
            f'{path}.can_resume',
            'requests that run at most once would be repeated',
        )


def _check_anonymous(configuration: Configuration) -> Iterator[CheckMessage]:
    if configuration.accounts:
        return
    for route in configuration.routes:
        if route.is_anonymous:
            yield CheckMessage(
                'C026',
                f'$.routes.{route.name}.anonymous',
                'has no effect: there are no client accounts',
                severity=Severity.WARNING,
            )
