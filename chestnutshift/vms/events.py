"""Numbered events of the VM's process."""

import logging

from chestnutshift.events.catalogue import define

STARTED = define(1101, 'vm.started', 'The process serves callers.')
STOPPING = define(1102, 'vm.stopping', 'The process was told to stop.')
STOPPED = define(1103, 'vm.stopped', 'Everything in flight has ended.')
TASK_FAILED = define(
    1104,
    'vm.task_failed',
    'A background task met an error and goes on.',
    logging.ERROR,
)
