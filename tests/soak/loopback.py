"""Assign each run its own loopback address.

Ports are chosen before their processes bind them; on a shared address, another
run could bind them first and receive the requests of this one.
"""

import os

_BYTE_VALUES = 256


def find_address(pid):
    """Return the loopback address for the run of a process."""
    remainder, last = divmod(pid, _BYTE_VALUES)
    high, middle = divmod(remainder, _BYTE_VALUES)
    # Process ids have at most 22 bits, so that 64 values are enough here.
    return f'127.{1 + high}.{middle}.{last}'


ADDRESS = find_address(os.getpid())
