"""Describe problems in settings and declarations.

Ids: ``S0nn`` for settings, ``D0nn`` for declarations. A check returns every
problem at once and doesn't raise an exception.
"""

import difflib
import enum
from collections.abc import Iterable
from typing import NamedTuple


class Severity(enum.Enum):
    """Severity of a problem that a check reports."""

    WARNING = 'warning'
    ERROR = 'error'


class CheckMessage(NamedTuple):
    """Describe one problem with its JSON path, id and hint."""

    check_id: str
    path: str
    message: str
    hint: str = ''
    severity: Severity = Severity.ERROR

    def format_line(self) -> str:
        """Return the problem as one line of text."""
        hint = f' (hint: {self.hint})' if self.hint else ''
        return f'{self.check_id} {self.path}: {self.message}{hint}'


def has_errors(messages: Iterable[CheckMessage]) -> bool:
    """Return whether any problem is an error."""
    return any(message.severity is Severity.ERROR for message in messages)


def suggest_name(unknown: str, known: Iterable[str]) -> str:
    """Return a hint with the most similar known name, or an empty string."""
    nearest = difflib.get_close_matches(unknown, list(known), n=1)
    return f"did you mean '{nearest[0]}'?" if nearest else ''
