"""Define the log events of the controller."""

from absl import logging

from cassiarail.core.events import define_event

TERM_STARTED = define_event(
    number=3101,
    level=logging.INFO,
    summary='controller took over the placement of its data centre',
)
TERM_ENDED = define_event(
    number=3102,
    level=logging.INFO,
    summary='controller no longer places models',
)
STORE_FAILED = define_event(
    number=3103,
    level=logging.WARNING,
    summary='object API failed; nothing is changed',
)
MODEL_UNPLACED = define_event(
    number=3104,
    level=logging.WARNING,
    summary='model could not be placed',
)
ROUND_FAILED = define_event(
    number=3105,
    level=logging.WARNING,
    summary='placement round failed; it is retried at the next interval',
)
