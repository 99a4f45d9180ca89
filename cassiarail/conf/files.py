"""Read settings files and report their problems."""

import pathlib
from typing import Any

import msgspec

from cassiarail.core.checks import CheckMessage
from cassiarail.core.exceptions import SettingsError


class RejectedSettingsError(SettingsError):
    """Report every problem of a settings file."""

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
