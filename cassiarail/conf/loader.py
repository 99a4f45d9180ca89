"""Load a settings file and report all its problems at once."""

import pathlib
from typing import Any

from cassiarail.conf.checks import SCHEMA_CHECKS, check_settings
from cassiarail.conf.files import RejectedSettingsError, read_json
from cassiarail.core.checks import CheckMessage, has_errors
from cassiarail.core.validation import DocumentChecker


def load_settings(path: pathlib.Path, schema: Any) -> Any:
    """Return the settings of a file.

    ``schema`` is the ``TypedDict`` that they must match. Raises
    ``RejectedSettingsError`` with every problem found.
    """
    settings = read_json(path)
    problems = DocumentChecker(schema, SCHEMA_CHECKS).check(settings)
    if not problems:
        problems = check_settings(settings)
    if has_errors(problems):
        raise RejectedSettingsError(str(path), problems)
    return settings


def read_secret(path: pathlib.Path) -> bytes:
    """Return the shared secret in a file, without surrounding whitespace."""
    try:
        return path.read_bytes().strip()
    except OSError as error:
        problem = CheckMessage('S004', '$', f'cannot read: {error.strerror}')
        raise RejectedSettingsError(str(path), [problem]) from error
