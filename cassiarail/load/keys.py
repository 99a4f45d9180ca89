"""Generate idempotency keys as UUIDs of version 7."""

import datetime as dt
import random
import uuid

_RANDOM_BITS = 74
_LOW_BITS = 62
_VERSION_SHIFT = 76
_TIME_SHIFT = 80
_VARIANT_SHIFT = 62
_HIGH_SHIFT = 64
_VERSION = 7
_VARIANT = 2
_MILLISECONDS_PER_SECOND = 1000


def make_key(now: dt.datetime, generator: random.Random) -> str:
    """Return a UUID of version 7 from a timestamp and random bits."""
    random_bits = generator.getrandbits(_RANDOM_BITS)
    low = random_bits & ((1 << _LOW_BITS) - 1)
    number = int(now.timestamp() * _MILLISECONDS_PER_SECOND) << _TIME_SHIFT
    number |= _VERSION << _VERSION_SHIFT
    number |= (random_bits >> _LOW_BITS) << _HIGH_SHIFT
    number |= _VARIANT << _VARIANT_SHIFT
    return str(uuid.UUID(int=number | low))
