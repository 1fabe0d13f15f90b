"""Entry point of the command line; maps errors to exit codes."""

import sys
from typing import TextIO

import fire

from chestnutshift.exceptions import CodedError
from chestnutshift.management.actions import run_action, serialize_result
from chestnutshift.management.commands import Commands
from chestnutshift.management.exceptions import exit_code
from chestnutshift.management.output import Output

JSON_FLAG = '--json=True'
# fire would use the next argument, the command, as the value of a flag that
# has none.
FLAGS = {
    '--json': JSON_FLAG,
    '--dry_run': '--dry_run=True',
    '--dry-run': '--dry_run=True',
}


def print_help(lines: list[str], out: TextIO) -> None:
    """Write help directly; fire would start a pager on a terminal."""
    out.writelines(f'{line}\n' for line in lines)


def main() -> None:
    """Run the command line; exit with the code of the error."""
    fire.core.Display = print_help
    arguments = [FLAGS.get(word, word) for word in sys.argv[1:]]
    try:
        run_action(
            fire.Fire(
                Commands,
                command=arguments,
                name='chestnutshift',
                serialize=serialize_result,
            ),
        )
    except CodedError as error:
        output = Output(as_json=JSON_FLAG in arguments)
        output.show_error(error)
        sys.exit(exit_code(error))
