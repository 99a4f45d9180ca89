"""Define the log events of the load tool."""

from absl import logging

from cassiarail.core.events import define_event

LOAD_STARTED = define_event(
    number=6101, level=logging.INFO, summary='load started'
)
LOAD_FINISHED = define_event(
    number=6102, level=logging.INFO, summary='load finished'
)
RESPONSE_FAULTY = define_event(
    number=6103,
    level=logging.WARNING,
    summary='response was incomplete or belonged to another request',
)
GUARANTEE_VIOLATED = define_event(
    number=6104,
    level=logging.ERROR,
    summary='the audit found a violated guarantee',
)
