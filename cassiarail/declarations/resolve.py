"""Resolve the policy that applies to a model, target or caller.

An exception applies if all keys of its match equal those of the subject.
Exceptions with more keys have precedence over those with fewer; with equal
numbers of keys, the name that sorts last has precedence.
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
    """Hold a resolved setting with its source and reason."""

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
    """Return a subject's exceptions by ascending precedence."""
    matching = [
        exception
        for exception in exceptions
        if _matches(exception['match'], subject)
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


def _matches(match: Match, subject: Mapping[str, Any]) -> bool:
    return all(subject.get(key) == expected for key, expected in match.items())
