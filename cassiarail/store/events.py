"""Define the log events of the object store's client."""

from absl import logging

from cassiarail.core.events import define_event

LEASE_ACQUIRED = define_event(
    number=4101, level=logging.INFO, summary='lease acquired'
)
LEASE_LOST = define_event(
    number=4102, level=logging.WARNING, summary='lease lost'
)
WRITE_RESOLVED = define_event(
    number=4103,
    level=logging.INFO,
    summary='outcome of a write without a response was read back',
)
WATCH_FAILED = define_event(
    number=4110,
    level=logging.WARNING,
    summary='watch of the object API failed; trying again',
)
WATCH_RECOVERED = define_event(
    number=4111,
    level=logging.INFO,
    summary='watch of the object API works again',
)
OUTAGE_ENDED = define_event(
    number=4115,
    level=logging.INFO,
    summary='object API responds after an outage; entries may have expired',
)
WATCH_EXPIRED = define_event(
    number=4112,
    level=logging.INFO,
    summary='watch history of the object API expired; listing again',
)
STORE_UNREACHABLE = define_event(
    number=4113,
    level=logging.WARNING,
    summary='object API does not respond',
)
STORE_RECOVERED = define_event(
    number=4114,
    level=logging.INFO,
    summary='object API responds again',
)
CALLS_SUSPENDED = define_event(
    number=4116,
    level=logging.INFO,
    summary='call of the object API failed; calls wait until a check succeeds',
)
CALLS_RESUMED = define_event(
    number=4117,
    level=logging.INFO,
    summary='check of the object API succeeded; calls continue',
)
STORE_CALLS = define_event(
    number=4118,
    level=logging.INFO,
    summary='calls of the object API in the last period, by purpose',
)
OBJECT_UNREADABLE = define_event(
    number=4119,
    level=logging.WARNING,
    summary='object without a name or a revision is left out',
)
STORE_ERA_KNOWN = define_event(
    number=4120,
    level=logging.INFO,
    summary='era of the object API is known',
)
STORE_ERA_CHANGED = define_event(
    number=4121,
    level=logging.WARNING,
    summary='object API came back from a copy; its latest writes are lost',
)
