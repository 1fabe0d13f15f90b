"""Numbered events of the process of an entry VM."""

import logging

from chestnutshift.events.catalogue import define

STARTED = define(1101, 'vm.started', 'An entry VM started and serves callers.')
STOPPING = define(1102, 'vm.stopping', 'An entry VM received a stop signal.')
STOPPED = define(1103, 'vm.stopped', 'An entry VM completed its graceful stop.')
TASK_FAILED = define(
    1104,
    'vm.task_failed',
    'A background task failed with an error and continues.',
    logging.ERROR,
)
