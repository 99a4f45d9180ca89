"""Test that signals don't end a program that is starting.

Processes that got SIGHUP within half a second of their start ended by the
default action of the signal, three times on each machine.
"""

import subprocess
import sys

import pytest

RECEIVE_WHILE_STARTING = """
import os, signal, sys, types
from cassiarail.commands.launch import launch

class Program(types.ModuleType):
    def __getattr__(self, name):
        # As if the signal arrived during the imports.
        os.kill(os.getpid(), signal.SIGHUP)
        return lambda: print('started')

sys.modules['slow'] = Program('slow')
launch('slow')
"""
LIST_MODULES = """
import sys
import cassiarail.commands.{name} as program
assert program.main
print(sum(each.startswith('cassiarail.') for each in sys.modules))
"""
# The package of commands, the launcher and the module itself.
LIGHT_MODULES = 3


def run_python(code):
    return subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=False,
    )


def test_a_signal_during_the_imports_does_not_end_a_program():
    completed = run_python(RECEIVE_WHILE_STARTING)
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout == 'started\n'


@pytest.mark.parametrize('name', ['edge', 'gateway', 'controller'])
def test_programs_import_nothing_before_signals_are_handled(name):
    completed = run_python(LIST_MODULES.format(name=name))
    assert completed.returncode == 0, completed.stderr
    assert int(completed.stdout) == LIGHT_MODULES
