"""Define the log events of the stand-ins."""

from absl import logging

from cassiarail.core.events import define_event

FAULT_SWITCHED_ON = define_event(
    number=6001, level=logging.INFO, summary='fault switched on'
)
FAULT_SWITCHED_OFF = define_event(
    number=6002, level=logging.INFO, summary='fault switched off'
)
TARGET_CRASHED = define_event(
    number=6003, level=logging.INFO, summary='stand-in target crashed'
)
TARGET_RESTARTED = define_event(
    number=6004, level=logging.INFO, summary='stand-in target restarted'
)
TARGET_LEAVING = define_event(
    number=6005, level=logging.INFO, summary='stand-in target is leaving'
)
TARGET_STOPPED = define_event(
    number=6006, level=logging.INFO, summary='stand-in target stopped'
)
MEMORY_OVERCOMMITTED = define_event(
    number=6007,
    level=logging.ERROR,
    summary='an order needs more memory than the target has',
)
