"""Check a configuration as a whole.

C001 not readable; C010 to C026 routes, C030 to C038 services, C040 to C046
client accounts, C050 and C051 limits of callers, C060 stop time, C061 version.
"""

from collections.abc import Iterator

from cassiarail.core.checks import CheckMessage, Severity
from cassiarail.edge.configuration_checks.accounts import check_accounts
from cassiarail.edge.configuration_checks.routes import check_routes
from cassiarail.edge.configuration_checks.services import (
    check_limits,
    check_services,
)
from cassiarail.edge.registry.configuration import Configuration


def check_configuration(
    configuration: Configuration,
    in_force: Configuration | None = None,
    stop_s: float | None = None,
) -> list[CheckMessage]:
    """Return every problem of a configuration.

    ``in_force`` is the configuration that it would replace, and ``stop_s`` the
    seconds that a stopping process has for its requests.
    """
    return [
        *check_routes(configuration),
        *check_services(configuration),
        *check_accounts(configuration),
        *check_limits(configuration.limits),
        *_check_stop(configuration, stop_s),
        *_check_version(configuration, in_force),
    ]


def _check_stop(
    configuration: Configuration, stop_s: float | None
) -> Iterator[CheckMessage]:
    if stop_s is None:
        return
    for route in configuration.routes:
        if route.timeout_s > stop_s:
            yield CheckMessage(
                'C060',
                f'$.routes.{route.name}.timeout',
                f'a stop ends requests after {stop_s:g} s, before their'
                f' timeout, {route.timeout_s:g} s',
                severity=Severity.WARNING,
            )


def _check_version(
    configuration: Configuration, in_force: Configuration | None
) -> Iterator[CheckMessage]:
    if in_force and configuration.version <= in_force.version:
        yield CheckMessage(
            'C061',
            '$.version',
            f'{configuration.version} is never applied: version'
            f' {in_force.version} is in force',
        )
