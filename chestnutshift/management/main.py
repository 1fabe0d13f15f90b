"""Run a command and turn errors into exit codes."""

import sys

import fire

from chestnutshift.exceptions import CodedError
from chestnutshift.management.commands import Commands
from chestnutshift.management.exceptions import exit_code


def main() -> None:
    """Run the command line; exit with a documented code."""
    try:
        fire.Fire(Commands, name='chestnutshift')
    except CodedError as error:
        sys.stderr.write(f'{error.code}: {error.detail}\n')
        sys.exit(exit_code(error))
