"""Log numbered events as structured lines.

Numbers: 1xxx processes and settings, 2xxx gateway, 3xxx control and
placement, 4xxx configuration and store, 5xxx membership, 6xxx stand-ins and
load, 9xxx invariants. Each subpackage defines its events in its own module
``events``. The catalogue is docs/ref/events.md.
"""

import abc
import collections
from collections.abc import Mapping
from typing import NamedTuple

import msgspec
from absl import logging

_RECENT_EVENTS = 1000


class Event(NamedTuple):
    """Define a type of log event."""

    number: int
    level: int
    summary: str


class EmittedEvent(NamedTuple):
    """Hold an emitted event for tests and status pages."""

    event: Event
    fields: dict[str, object]


class EventSink(abc.ABC):
    """Write events to a destination other than the logging library."""

    @abc.abstractmethod
    def write(self, event: Event, fields: Mapping[str, object]) -> None:
        """Write an event; must not block or raise an exception."""


_sinks: list[EventSink] = []
_catalogue: dict[int, Event] = {}
_recent: collections.deque[EmittedEvent] = collections.deque(
    maxlen=_RECENT_EVENTS,
)


def define_event(number: int, level: int, summary: str) -> Event:
    """Register an event; raise ``ValueError`` if its number is in use."""
    if number in _catalogue:
        raise ValueError(f'event {number} is defined twice')
    event = Event(number, level, summary)
    _catalogue[number] = event
    return event


def emit_event(event: Event, **fields: object) -> None:
    """Log an event with its fields as one JSON object."""
    _recent.append(EmittedEvent(event, fields))
    if _sinks:
        for sink in _sinks:
            sink.write(event, fields)
        return
    if logging.vlog_is_on(-event.level) or event.level <= logging.INFO:
        line = msgspec.json.encode(
            {'event': event.number, 'summary': event.summary, **fields},
            enc_hook=str,
        )
        logging.log(event.level, '%s', line.decode())


def add_sink(sink: EventSink) -> None:
    """Send events to a sink instead of the logging library."""
    _sinks.append(sink)


def remove_sink(sink: EventSink) -> None:
    """Stop sending events to a sink."""
    _sinks.remove(sink)


def list_events() -> list[Event]:
    """Return all defined events in order of their numbers."""
    return [_catalogue[number] for number in sorted(_catalogue)]


def list_recent_events() -> list[EmittedEvent]:
    """Return the latest emitted events, oldest first."""
    return list(_recent)


INVARIANT_BROKEN = define_event(
    number=9001,
    level=logging.ERROR,
    summary='invariant broken; the action was refused',
)
APPLICATION_STARTED = define_event(
    number=1001, level=logging.INFO, summary='application started'
)
APPLICATION_STOPPING = define_event(
    number=1002,
    level=logging.INFO,
    summary='application is stopping gracefully',
)
APPLICATION_STOPPED = define_event(
    number=1003, level=logging.INFO, summary='application stopped'
)
CHILD_CRASHED = define_event(
    number=1101,
    level=logging.WARNING,
    summary='supervised task crashed; restarting it',
)
CHILD_RESTARTS_EXHAUSTED = define_event(
    number=1102,
    level=logging.ERROR,
    summary='supervised task crashed too often; not restarting it',
)
