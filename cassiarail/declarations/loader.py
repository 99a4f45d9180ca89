"""Load a folder of declarations and report all problems at once."""

import pathlib
from typing import Any, cast

import msgspec

from cassiarail.core.checks import CheckMessage, has_errors
from cassiarail.core.exceptions import DeclarationError
from cassiarail.core.validation import CheckIds, DocumentChecker
from cassiarail.declarations.checks import check_declarations
from cassiarail.declarations.schema import (
    CallerDocument,
    DeclarationsDocument,
    ExceptionDocument,
    FleetDocument,
    ModelDocument,
    ServiceDocument,
)

SCHEMA_CHECKS = CheckIds('D001', 'D002', 'D003')
EXCEPTIONS_FOLDER = 'exceptions'
_FILES = (
    ('fleet', 'defaults.json', FleetDocument),
    ('models', 'models.json', list[ModelDocument]),
    ('services', 'services.json', list[ServiceDocument]),
    ('callers', 'callers.json', list[CallerDocument]),
)


class RejectedDeclarationsError(DeclarationError):
    """Report every problem of a set of declarations."""

    error_id = 'CR2002'
    code = 'declarations_invalid'

    def __init__(self, problems: list[CheckMessage]) -> None:
        lines = '\n'.join(problem.format_line() for problem in problems)
        super().__init__(lines)
        self.problems = problems


class _FolderReader:
    """Read the files of a folder and collect their problems."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.problems: list[CheckMessage] = []

    def read(self, name: str, schema: Any) -> Any:
        """Return a decoded file, or ``None`` if it has problems."""
        try:
            document = msgspec.json.decode((self.folder / name).read_bytes())
        except OSError as error:
            message = f'cannot read: {error.strerror}'
            self.problems.append(CheckMessage('D004', name, message))
            return None
        except msgspec.DecodeError as error:
            message = f'not JSON: {error}'
            self.problems.append(CheckMessage('D005', name, message))
            return None
        schema_problems = DocumentChecker(schema, SCHEMA_CHECKS).check(
            document, name
        )
        self.problems.extend(schema_problems)
        return document

    def read_exceptions(self) -> list[Any]:
        """Return all exceptions in the order of their file names."""
        paths = sorted((self.folder / EXCEPTIONS_FOLDER).glob('*.json'))
        return [
            self.read(f'{EXCEPTIONS_FOLDER}/{path.name}', ExceptionDocument)
            for path in paths
        ]


def load_folder(
    folder: pathlib.Path,
) -> tuple[DeclarationsDocument, list[CheckMessage]]:
    """Return the declarations of a folder and the warnings about them.

    Raises ``RejectedDeclarationsError`` with every problem found.
    """
    reader = _FolderReader(folder)
    documents = {key: reader.read(name, schema) for key, name, schema in _FILES}
    documents['exceptions'] = reader.read_exceptions()
    if has_errors(reader.problems):
        raise RejectedDeclarationsError(reader.problems)
    declarations = cast(DeclarationsDocument, documents)
    return declarations, validate_declarations(declarations)


def validate_declarations(
    declarations: DeclarationsDocument,
) -> list[CheckMessage]:
    """Return the warnings; raise ``RejectedDeclarationsError`` on errors."""
    problems = check_declarations(declarations)
    if has_errors(problems):
        raise RejectedDeclarationsError(problems)
    return problems
