"""Run a command and turn errors into exit codes."""

import sys
from typing import TextIO

import fire

from chestnutshift.exceptions import CodedError
from chestnutshift.management.actions import perform, postpone
from chestnutshift.management.commands import Commands
from chestnutshift.management.exceptions import exit_code
from chestnutshift.management.output import Output

AS_JSON = '--json=True'
# Without a value fire takes the next word, which is the command, for it.
FLAGS = {
    '--json': AS_JSON,
    '--dry_run': '--dry_run=True',
    '--dry-run': '--dry_run=True',
}


def print_help(lines: list[str], out: TextIO) -> None:
    """Write help as it is; fire would start a pager on a terminal."""
    out.writelines(f'{line}\n' for line in lines)


def main() -> None:
    """Run the command line; exit with a documented code."""
    fire.core.Display = print_help
    words = [FLAGS.get(word, word) for word in sys.argv[1:]]
    try:
        perform(
            fire.Fire(
                Commands,
                command=words,
                name='chestnutshift',
                serialize=postpone,
            ),
        )
    except CodedError as error:
        output = Output(as_json=AS_JSON in words)
        output.show_error(error)
        sys.exit(exit_code(error))
