"""VMs of earlier builds and of this one understand each other."""

import io
import json
import pathlib
import subprocess
import sys
import tarfile
import tempfile

import attrs
from nose2.tools import params

from chestnutshift.fleet.datagrams import encode
from tests.fleet import build_exchange

ROOT = pathlib.Path(__file__).parents[2]
OLD_BUILDS = ('d04350d', '6759eb4', 'c81730d')
SCRIPT = pathlib.Path(build_exchange.__file__)
TIMEOUT_S = 60
# Fields of heartbeats that the old build lacks.
NEW_FIELDS = {'silent'}


def _extract(build: str, folder: str) -> None:
    """Write the program of an old build to the folder."""
    archive = subprocess.run(
        ['git', 'archive', build, 'chestnutshift'],
        cwd=ROOT,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(folder, filter='data')


def _run_old(build: str, command: str, written: object = None) -> object:
    """Run a command of the exchange with an old build."""
    with tempfile.TemporaryDirectory() as folder:
        _extract(build, folder)
        ended = subprocess.run(
            [sys.executable, str(SCRIPT), command],
            cwd=folder,
            env={'PYTHONPATH': folder},
            input=json.dumps(written).encode(),
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    assert not ended.returncode, ended.stderr.decode()
    return json.loads(ended.stdout)


@params(*OLD_BUILDS)
def test_messages_of_an_old_build(build: str) -> None:
    """This build reads them, and its hashes and fingerprints are the same."""
    written = _run_old(build, 'write')
    own = build_exchange.write()
    assert written['hashes'] == own['hashes']
    assert build_exchange.read(written) == build_exchange.read(own)


def _assert_old_build_reads(build: str, written: dict) -> None:
    """Check that each field that the old build knows says the same to it."""
    said = _run_old(build, 'read', written)
    own = build_exchange.read(written)
    for old_fields, fields in zip(said, own, strict=True):
        assert old_fields.items() <= fields.items()
        assert fields.keys() - old_fields.keys() <= NEW_FIELDS


@params(*OLD_BUILDS)
def test_messages_for_an_old_build(build: str) -> None:
    """It reads those of this build, also with figures beyond a field."""
    own = build_exchange.write()
    _assert_old_build_reads(build, own)
    beyond = {**own, 'datagrams': build_exchange.write_out_of_range()}
    _assert_old_build_reads(build, beyond)


@params(*OLD_BUILDS)
def test_new_fields_for_an_old_build(build: str) -> None:
    """It reads the other fields of a heartbeat with fields that it lacks."""
    silent = attrs.evolve(build_exchange.HEARTBEAT, silent=frozenset((1, -2)))
    own = build_exchange.write()
    _assert_old_build_reads(build, {**own, 'datagrams': [encode(silent).hex()]})
