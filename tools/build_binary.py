"""Build build/chestnutshift, one executable file that needs only Python.

The file is a zip archive from which Python imports directly. Nothing is
unpacked, so it runs on a VM without a disk and starts no second process.
"""

import compileall
import pathlib
import py_compile
import shutil
import subprocess
import sys
import zipapp

ROOT = pathlib.Path(__file__).parent.parent
BUILD = ROOT / 'build'
STAGE = BUILD / 'stage'
TARGET = BUILD / 'chestnutshift'
# Python can't load extension modules from a zip archive; every library has a
# fallback in pure Python. Type stubs and C sources are not needed at run time.
UNUSABLE_PATTERNS = ('*.so', '*.pyi', '*.c', '*.h')
MAIN_MODULE = """from chestnutshift.management.main import main

main()
"""


def stage() -> None:
    """Copy the package and install its libraries into an empty folder."""
    shutil.rmtree(STAGE, ignore_errors=True)
    command = [
        sys.executable,
        '-m',
        'pip',
        'install',
        '--quiet',
        '--disable-pip-version-check',
        '--no-compile',
        '--target',
        str(STAGE),
        '--requirement',
        str(ROOT / 'requirements.txt'),
    ]
    subprocess.run(command, check=True)
    shutil.rmtree(STAGE / 'bin', ignore_errors=True)
    shutil.copytree(
        ROOT / 'chestnutshift',
        STAGE / 'chestnutshift',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    for pattern in UNUSABLE_PATTERNS:
        for path in STAGE.rglob(pattern):
            path.unlink()
    (STAGE / '__main__.py').write_text(MAIN_MODULE)


def build() -> None:
    """Compile the staged files and pack them into one executable file."""
    stage()
    compileall.compile_dir(
        STAGE,
        quiet=2,
        legacy=True,
        stripdir=STAGE,
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    zipapp.create_archive(
        STAGE,
        TARGET,
        interpreter='/usr/bin/env python3',
        compressed=True,
    )


if __name__ == '__main__':
    build()
