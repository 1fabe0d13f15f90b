"""Run an edge VM on the hosting platform."""

import signal


def main() -> None:
    """Run until a stop signal.

    Loading the program takes a good part of a second, in which SIGHUP would
    end the process. It is ignored until then: the settings are read at the
    start, and again with each SIGHUP from then on.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import trio  # noqa: PLC0415

    from chestnutshift.platform.assembly import run_edge  # noqa: PLC0415

    trio.run(run_edge)


if __name__ == '__main__':
    main()
