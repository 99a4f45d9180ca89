"""Load a settings file, reporting all problems at once."""

import pathlib
from typing import Any

import msgspec

from cassiarail.conf.checks import SHAPE_CHECKS, check_settings
from cassiarail.core.checks import CheckMessage, has_errors
from cassiarail.core.exceptions import SettingsError
from cassiarail.core.validation import DocumentChecker


class RejectedSettingsError(SettingsError):
    """Report settings with all their problems."""

    error_id = 'CR1002'
    code = 'settings_invalid'

    def __init__(self, path: str, problems: list[CheckMessage]) -> None:
        lines = '\n'.join(problem.format_line() for problem in problems)
        super().__init__(f'{path}:\n{lines}')
        self.problems = problems


def read_json(path: pathlib.Path) -> Any:
    """Decode a JSON file; raise ``RejectedSettingsError`` if that fails."""
    try:
        return msgspec.json.decode(path.read_bytes())
    except OSError as error:
        problem = CheckMessage('S004', '$', f'cannot read: {error.strerror}')
    except msgspec.DecodeError as error:
        problem = CheckMessage('S005', '$', f'not JSON: {error}')
    raise RejectedSettingsError(str(path), [problem])


def load_settings(path: pathlib.Path, shape: Any) -> Any:
    """Return the settings of a file that has the given TypedDict's shape.

    Raises ``RejectedSettingsError`` with every problem found.
    """
    settings = read_json(path)
    problems = DocumentChecker(shape, SHAPE_CHECKS).check(settings)
    if not problems:
        problems = check_settings(settings)
    if has_errors(problems):
        raise RejectedSettingsError(str(path), problems)
    return settings


def read_secret(path: pathlib.Path) -> bytes:
    """Return the shared secret in a file, without surrounding blanks."""
    try:
        return path.read_bytes().strip()
    except OSError as error:
        problem = CheckMessage('S004', '$', f'cannot read: {error.strerror}')
        raise RejectedSettingsError(str(path), [problem]) from error
