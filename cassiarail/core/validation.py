"""Check a decoded JSON document against a TypedDict, reporting all problems."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple, get_args, get_type_hints

import pydantic
from typing_extensions import is_typeddict

from cassiarail.core.checks import CheckMessage, suggest_name

_UNKNOWN_KEY = 'extra_forbidden'
_MISSING_KEY = 'missing'


class CheckIds(NamedTuple):
    """Hold the check ids to report for each kind of problem."""

    wrong_type: str
    unknown_key: str
    missing_key: str


class DocumentChecker:
    """Check decoded JSON strictly; unknown keys are errors at any level."""

    def __init__(self, schema: Any, check_ids: CheckIds) -> None:
        """Build the validator for a TypedDict or a list of them."""
        _forbid_unknown_keys(schema)
        self._schema = schema
        self._adapter: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(schema)
        self._check_ids = check_ids

    def check(self, document: object, root: str = '$') -> list[CheckMessage]:
        """Return every problem of a document with its JSON path."""
        try:
            self._adapter.validate_python(document)
        except pydantic.ValidationError as error:
            return [
                self._describe(problem, root)
                for problem in error.errors(include_url=False)
            ]
        return []

    def _describe(self, problem: Mapping[str, Any], root: str) -> CheckMessage:
        location = problem['loc']
        path = format_path(root, location)
        if problem['type'] == _UNKNOWN_KEY:
            return CheckMessage(
                self._check_ids.unknown_key,
                path,
                'unknown key',
                suggest_name(
                    str(location[-1]),
                    _known_keys(self._schema, location[:-1]),
                ),
            )
        if problem['type'] == _MISSING_KEY:
            return CheckMessage(
                self._check_ids.missing_key,
                path,
                'required key is missing',
            )
        found_type = type(problem['input']).__name__
        message = f'{problem["msg"]}; found {found_type}'
        return CheckMessage(self._check_ids.wrong_type, path, message)


def format_path(root: str, location: Iterable[int | str]) -> str:
    """Return a JSON path such as ``$.models[3].name``."""
    steps = [
        f'[{part}]' if isinstance(part, int) else f'.{part}'
        for part in location
    ]
    return root + ''.join(steps)


def _forbid_unknown_keys(schema: Any) -> None:
    """Set the strict configuration on a TypedDict and all nested types."""
    if is_typeddict(schema):
        schema.__pydantic_config__ = pydantic.ConfigDict(
            strict=True,
            extra='forbid',
        )
        for inner in get_type_hints(schema).values():
            _forbid_unknown_keys(inner)
    for argument in get_args(schema):
        _forbid_unknown_keys(argument)


def _known_keys(schema: Any, location: Iterable[int | str]) -> Iterable[str]:
    """Return the keys that a TypedDict at a location accepts."""
    current = schema
    for part in location:
        if is_typeddict(current):
            current = get_type_hints(current).get(str(part))
        else:
            current = next(
                reversed(get_args(current)),
                None,
            )
    return get_type_hints(current) if is_typeddict(current) else ()
