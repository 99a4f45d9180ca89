"""Configure structured logging."""

import logging as standard_logging
from typing import Any

import msgspec
from absl import logging

_LEVELS = {  # noqa: WPS407
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


class JsonFormatter(standard_logging.Formatter):
    """Format each record as one JSON object on one line."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record as a line; the fields of an event are included."""
        line: dict[str, Any] = {
            'time': self.formatTime(record),
            'level': record.levelname.lower(),
        }
        text = record.getMessage()
        line.update(_decode_event(text) or {'message': text})
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logs(level: str) -> None:
    """Write logs of a level and above to standard error as JSON lines."""
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[level])
    logging.get_absl_handler().setFormatter(JsonFormatter())
    # The request lines of these libraries would duplicate the spans.
    for logger_name in ('httpx', 'httpcore', 'hypercorn.access'):
        standard_logging.getLogger(logger_name).setLevel(
            standard_logging.WARNING
        )


def _decode_event(text: str) -> dict[str, Any] | None:
    if not text.startswith('{'):
        return None
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except msgspec.DecodeError:
        return None
