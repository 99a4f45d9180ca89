"""Resolve the policy that applies to a model, target or caller.

An exception applies when all keys of its match are equal. Exceptions with
more keys go before those with fewer; among equals the later name wins.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, cast

from cassiarail.declarations.schema import (
    DeclarationsDocument,
    ExceptionDocument,
    Match,
    ModelDocument,
    Policy,
    ServiceDocument,
)

DEFAULTS_SOURCE = 'defaults'


class Origin(NamedTuple):
    """Tell where a resolved setting comes from, and why."""

    setting: Any
    source: str
    reason: str


def resolve_origins(
    declarations: DeclarationsDocument,
    subject: Match,
) -> dict[str, Origin]:
    """Return each setting of a subject with its origin."""
    defaults = declarations['fleet']['defaults']
    origins = {
        key: Origin(setting, DEFAULTS_SOURCE, '')
        for key, setting in defaults.items()
    }
    for exception in find_exceptions(declarations['exceptions'], subject):
        for key, setting in exception['set'].items():
            origins[key] = Origin(
                setting,
                exception['name'],
                exception['reason'],
            )
    return origins


def resolve_policy(
    declarations: DeclarationsDocument,
    subject: Match,
) -> Policy:
    """Return the settings that apply to a subject."""
    origins = resolve_origins(declarations, subject)
    return cast(
        Policy,
        {key: origin.setting for key, origin in origins.items()},
    )


def find_exceptions(
    exceptions: Sequence[ExceptionDocument],
    subject: Match,
) -> list[ExceptionDocument]:
    """Return the exceptions of a subject, the strongest one last."""
    matching = [
        exception
        for exception in exceptions
        if _applies(exception['match'], subject)
    ]
    return sorted(
        matching,
        key=lambda exception: (len(exception['match']), exception['name']),
    )


def index_models(
    declarations: DeclarationsDocument,
) -> dict[str, ModelDocument]:
    """Return the declared models by name."""
    return {model['name']: model for model in declarations['models']}


def index_services(
    declarations: DeclarationsDocument,
) -> dict[str, ServiceDocument]:
    """Return the declared services by name."""
    return {service['name']: service for service in declarations['services']}


def _applies(match: Match, subject: Mapping[str, Any]) -> bool:
    return all(subject.get(key) == wanted for key, wanted in match.items())
