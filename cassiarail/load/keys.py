"""Make idempotency keys: UUIDs of version 7."""

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
_MILLISECONDS = 1000


def make_key(now: dt.datetime, generator: random.Random) -> str:
    """Return a UUID version 7 with a time of day and random bits."""
    noise = generator.getrandbits(_RANDOM_BITS)
    low = noise & ((1 << _LOW_BITS) - 1)
    number = int(now.timestamp() * _MILLISECONDS) << _TIME_SHIFT
    number |= _VERSION << _VERSION_SHIFT
    number |= (noise >> _LOW_BITS) << _HIGH_SHIFT
    number |= _VARIANT << _VARIANT_SHIFT
    return str(uuid.UUID(int=number | low))
