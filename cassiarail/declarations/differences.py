"""Compare two sets of declarations."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from cassiarail.declarations.resolve import index_models, resolve_policy
from cassiarail.declarations.schema import DeclarationsDocument


class Difference(NamedTuple):
    """Hold one changed value with its JSON path."""

    path: str
    before: Any
    after: Any


class Impact(NamedTuple):
    """Hold the differences and what they affect."""

    differences: list[Difference]
    models: list[str]
    targets: list[str]


def compare_declarations(
    before: DeclarationsDocument | None,
    after: DeclarationsDocument,
) -> Impact:
    """Return the differences and the models and targets they affect."""
    differences = list(find_differences(before or {}, after, '$'))
    if before is None:
        models = sorted(index_models(after))
    else:
        models = _list_changed_models(before, after)
    return Impact(differences, models, _list_affected_targets(after, models))


def find_differences(
    before: Any, after: Any, path: str
) -> Iterator[Difference]:
    """Yield what differs; entries of lists are matched by their names."""
    if isinstance(before, dict) and isinstance(after, dict):
        keys = sorted({*before, *after})
        for key in keys:
            yield from find_differences(
                before.get(key),
                after.get(key),
                f'{path}.{key}',
            )
    elif _is_named_list(before) and _is_named_list(after):
        yield from find_differences(
            _index_by_name(before), _index_by_name(after), path
        )
    elif before != after:
        yield Difference(path, before, after)


def _is_named_list(document: Any) -> bool:
    return isinstance(document, list) and all(
        isinstance(entry, dict) and 'name' in entry for entry in document
    )


def _index_by_name(entries: list[dict[str, Any]]) -> dict[str, Any]:
    return {entry['name']: entry for entry in entries}


def _list_changed_models(
    before: DeclarationsDocument,
    after: DeclarationsDocument,
) -> list[str]:
    old = index_models(before)
    new = index_models(after)
    names = {*old, *new}
    return sorted(
        name
        for name in names
        if old.get(name) != new.get(name)
        or resolve_policy(before, {'model': name})
        != resolve_policy(after, {'model': name})
    )


def _list_affected_targets(
    declarations: DeclarationsDocument,
    models: list[str],
) -> list[str]:
    declared = index_models(declarations)
    services = {
        declared[name]['service'] for name in models if name in declared
    }
    return sorted(
        target['name']
        for service in declarations['services']
        if service['name'] in services
        for target in service['targets']
    )
