"""Signals that come while a VM's process starts."""

import pathlib
import signal
import subprocess
import sys

from nose2.tools import params

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 30
# Runs the program, and sends it SIGHUP when it imports a module.
SIGNALLED = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, *_):
        if name == sys.argv[1]:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module('chestnutshift.platform', run_name='__main__')
"""


# A process ended by SIGHUP in its first half second, as nothing handled it yet.
@params('trio', 'chestnutshift.platform.assembly', 'h11')
def test_sighup_while_the_program_is_loaded(module: str) -> None:
    """The process goes on, here to the error that it has no settings."""
    ended = subprocess.run(
        [sys.executable, '-c', SIGNALLED, module],
        cwd=ROOT,
        env={'CHESTNUTSHIFT_SETTINGS': '/nonexistent'},
        capture_output=True,
        timeout=TIMEOUT_S,
        check=False,
    )
    assert ended.returncode != -signal.SIGHUP
    assert b'/nonexistent' in ended.stderr
