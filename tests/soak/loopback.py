"""Give each run a loopback address of its own.

Ports are picked before their processes bind them; on a shared address, another
run could take them and get the requests of this one.
"""

import os

_BYTE = 256


def find_address(pid):
    """Return the address of the run that a process plays."""
    rest, last = divmod(pid, _BYTE)
    high, middle = divmod(rest, _BYTE)
    # Process ids have 22 bits, so that 64 numbers are enough.
    return f'127.{1 + high}.{middle}.{last}'


ADDRESS = find_address(os.getpid())
