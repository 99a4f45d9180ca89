"""Define the log events of membership."""

from absl import logging

from cassiarail.core.events import define_event

PEER_JOINED = define_event(
    number=5001, level=logging.INFO, summary='controller joined'
)
PEER_SUSPECTED = define_event(
    number=5002, level=logging.WARNING, summary='controller is suspected'
)
PEER_REMOVED = define_event(
    number=5003, level=logging.WARNING, summary='controller removed'
)
PEER_REFUTED = define_event(
    number=5004,
    level=logging.INFO,
    summary='controller is alive; suspicion withdrawn',
)
PEER_LEFT = define_event(
    number=5005, level=logging.INFO, summary='controller left gracefully'
)
PEER_REJECTED = define_event(
    number=5006,
    level=logging.WARNING,
    summary='peer message failed authentication or validation',
)
TARGET_LEAVING = define_event(
    number=5010, level=logging.INFO, summary='target reported leaving'
)
TARGET_RESTARTED = define_event(
    number=5011, level=logging.INFO, summary='target has a new instance'
)
FINGERPRINT_CHANGED = define_event(
    number=5020, level=logging.WARNING, summary='quarantine state changed'
)
FEED_LOST = define_event(
    number=5030,
    level=logging.WARNING,
    summary='connection to controller lost; retaining the last snapshot',
)
FEED_SUBSCRIBED = define_event(
    number=5031, level=logging.INFO, summary='gateway subscribed'
)
