"""Start a program; signals that arrive meanwhile don't end it.

Only light modules may be imported here: the default action of SIGHUP ends a
process, and the imports of a program take most of its start.
"""

import importlib
import signal

_ALLOCATION = 'cassiarail.core.allocation'


def launch(module: str) -> None:
    """Import and run the program of a module.

    SIGHUP announces changed settings, which are read later during the start.
    Programs that don't reload their settings ignore it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(_ALLOCATION).fix_large_block_threshold()
    importlib.import_module(module).program()
