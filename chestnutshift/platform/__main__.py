"""Run an edge VM on the hosting platform."""

import sys

from chestnutshift.edge.host import prepare_process, write_line


def main() -> None:
    """Run until a stop signal.

    Loading the program takes a good part of a second, so signals and standard
    descriptors are prepared before.
    """
    prepare_process()
    import trio  # noqa: PLC0415

    from chestnutshift.edge.exceptions import StartError  # noqa: PLC0415
    from chestnutshift.platform.assembly import run_edge  # noqa: PLC0415

    try:
        trio.run(run_edge)
    except StartError as error:
        write_line(str(error))
        sys.exit(error.exit_code)


if __name__ == '__main__':
    main()
