"""Define the events of routing."""

import logging

from cassiarail.core.events import define_event

TARGET_UNREACHABLE = define_event(
    number=2801,
    level=logging.WARNING,
    summary='target is unreachable or unresponsive; probing once per second',
)
TARGET_REACHABLE = define_event(
    number=2802,
    level=logging.INFO,
    summary='target responds again',
)
