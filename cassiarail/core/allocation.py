"""Return the memory of large blocks to the system as they are freed."""

import ctypes

# From malloc.h of the GNU C library.
_M_MMAP_THRESHOLD = -3
# The threshold's initial value, in bytes.
_THRESHOLD_BYTES = 131_072


def fix_large_block_threshold() -> None:
    """Keep large blocks apart from the heap.

    The GNU C library raises its threshold with each large block that is freed,
    up to 32 MiB. Bodies of requests would then be placed in the heap, where
    they leave gaps that aren't returned. Other libraries have no threshold.
    """
    configure = getattr(ctypes.CDLL(None), 'mallopt', None)
    if configure is not None:
        configure(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES)
