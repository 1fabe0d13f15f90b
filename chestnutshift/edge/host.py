"""What a process inherits from its parent, made fit for a VM.

It is imported before the rest of the program, and imports little itself.
"""

import contextlib
import os
import signal
import sys

INPUT, OUTPUT, ERROR = range(3)
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def prepare_process() -> None:
    """Prepare signals, and then the standard descriptors."""
    prepare_signals()
    occupy_standard_descriptors()


def write_line(text: str) -> None:
    """Write one line to standard error, if it accepts any."""
    line = ' '.join(text.split())
    with contextlib.suppress(OSError):
        os.write(ERROR, f'chestnutshift: {line}\n'.encode(errors='replace'))


def prepare_signals() -> None:
    """Have signals neither lost nor end the process before it handles them.

    A parent may leave them blocked. SIGHUP is ignored until the settings can
    be read again, and SIGUSR1 and SIGUSR2 always: they have no meaning here.
    """
    for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2):
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def occupy_standard_descriptors() -> None:
    """Open the standard descriptors that were closed at the start.

    Otherwise a socket gets one of these numbers, and log lines are written
    into a connection. Output and error stand in for each other. Call this
    before anything else opens a descriptor.
    """
    closed = [
        number for number in (INPUT, OUTPUT, ERROR) if not _is_open(number)
    ]
    substitutes = {OUTPUT: ERROR, ERROR: OUTPUT}
    for number in closed:
        # The lowest free number is taken.
        _open_null()
        substitute = substitutes.get(number, number)
        if substitute not in closed:
            os.dup2(substitute, number)
    if sys.stderr is None:
        sys.stderr = os.fdopen(ERROR, 'w', buffering=1, closefd=False)


def _is_open(number: int) -> bool:
    try:
        os.fstat(number)
    except OSError:
        return False
    return True


def _open_null() -> None:
    try:
        os.open(os.devnull, os.O_RDWR)
    except OSError:
        # Any descriptor does: writing to a folder is refused.
        os.open('/', os.O_RDONLY)
