"""Numbered events that an edge VM logs."""

import logging

from chestnutshift.events.catalogue import define

STARTED = define(8001, 'edge.started', 'An edge VM started.')
STOPPING = define(8002, 'edge.stopping', 'An edge VM received a stop signal.')
STOPPED = define(
    8003, 'edge.stopped', 'An edge VM completed its graceful stop.'
)
READINESS_CHANGED = define(
    8004,
    'edge.ready_changed',
    'An edge VM became ready for callers or ceased to be.',
)
RELOADED = define(
    8005,
    'edge.reloaded',
    'An edge VM reloaded its settings file.',
)
RELOAD_FAILED = define(
    8006,
    'edge.reload_failed',
    'The settings could not be read; the previous ones stay in force.',
    logging.WARNING,
)
FAULT = define(
    8007,
    'edge.fault',
    'An unexpected exception ended one piece of work; the program has a fault.',
    logging.ERROR,
)
ENDED = define(
    8008,
    'edge.ended',
    'An unexpected exception ended the process; the program has a fault.',
    logging.ERROR,
)
CONNECTION_LOST = define(
    8009,
    'connection.lost',
    'A connection of a caller that had not left ended without an answer to '
    'each of its requests.',
    logging.WARNING,
)
TASK_INTERRUPTED = define(
    8080,
    'edge.task_interrupted',
    'A system error ended one round of a task; it goes on after a pause.',
    logging.WARNING,
)
DESCRIPTORS_LIMITED = define(
    8081,
    'edge.descriptors_limited',
    'The kernel permits fewer descriptors than the settings; the VM goes by '
    'that.',
    logging.WARNING,
)
STORE_LOST = define(
    8010,
    'store.lost',
    'A call to the store failed; the VM continues with its current state.',
    logging.WARNING,
)
STORE_REGAINED = define(
    8011,
    'store.regained',
    'The store answers again after failures.',
)
HISTORY_LOST = define(
    8012,
    'store.history_lost',
    'Changes of a table were missed; the whole table is read again.',
)
ROW_MALFORMED = define(
    8013,
    'store.row_malformed',
    'A row could not be decoded and is treated as absent.',
    logging.WARNING,
)
POLL_RESTARTED = define(
    8014,
    'store.question_hurried',
    'Peers know newer changes or the proof is due: the store is polled now.',
)
STORE_RETURNED = define(
    8015,
    'store.returned',
    'The store returned from an older copy, in a new era.',
    logging.WARNING,
)
REGISTRATION_LOST = define(
    8016,
    'store.registration_lost',
    "The store lacks this VM's row, which is written again.",
    logging.WARNING,
)
TABLE_IN_FORCE = define(
    8020,
    'table.in_force',
    'A newer route table is in force on this VM.',
)
TABLE_BEHIND = define(
    8045,
    'table.behind',
    'Peers name a newer route table than this VM has, which lasts.',
    logging.WARNING,
)
TABLE_PART_UNREADABLE = define(
    8047,
    'table.part_unreadable',
    'A part of the route table in force can not be read; what it concerns is '
    'refused.',
    logging.WARNING,
)
EVACUATIONS_CHANGED = define(
    8021,
    'evacuations.changed',
    'The set of evacuated failure domains changed.',
)
UPSTREAM_LISTED = define(
    8022,
    'upstream.listed',
    'An upstream registered or updated its registration.',
)
UPSTREAM_GONE = define(
    8023,
    'upstream.unlisted',
    'The registration of an upstream was removed.',
)
UPSTREAM_UNPROVEN = define(
    8024,
    'upstream.unproven',
    'An upstream failed in a way consistent with a restart.',
    logging.WARNING,
)
UPSTREAM_PROVEN = define(
    8025,
    'upstream.proven',
    'A health check of an unproven upstream passed.',
)
UPSTREAM_COLD_TOLD = define(
    8026,
    'upstream.cold_told',
    "A peer's heartbeat told that an upstream is cold.",
)
HEADER_UNKNOWN = define(
    8027,
    'upstream.header_unknown',
    'An upstream sent a header that this system does not know.',
)
RATE_LIMIT_CHANGED = define(
    8028,
    'upstream.rate_limit_changed',
    'An upstream named another limit of requests from all VMs, or none.',
)
RATE_LIMIT_MALFORMED = define(
    8029,
    'upstream.rate_limit_malformed',
    'An upstream named a limit that is no decimal number; it is ignored.',
    logging.WARNING,
)
HEADER_MALFORMED = define(
    8046,
    'upstream.header_malformed',
    'An upstream sent a header that can not be read; it is ignored.',
    logging.WARNING,
)
NOT_STARTED = define(
    8070,
    'edge.not_started',
    'What an edge VM needs to start did not come in time; the process ends.',
    logging.ERROR,
)
PORT_AWAITED = define(
    8071,
    'edge.port_awaited',
    'A port can not be used yet; the VM tries again.',
    logging.WARNING,
)
UPSTREAM_LEAVING = define(
    8041,
    'upstream.leaving_told',
    'An answer of an upstream, to this VM or a peer, said that it leaves.',
)
UPSTREAM_PAUSED = define(
    8042,
    'upstream.paused',
    'An upstream turned a request away, and asked this VM for a pause.',
)
PEER_LOST = define(
    8030,
    'peer.lost',
    'A peer missed several heartbeats.',
    logging.WARNING,
)
PEER_REGAINED = define(
    8031,
    'peer.regained',
    "A peer's heartbeats arrive, for the first time or again.",
)
DATAGRAM_MALFORMED = define(
    8032,
    'peer.beat_broken',
    'A datagram could not be decoded.',
    logging.WARNING,
)
DATAGRAM_UNSENT = define(
    8033,
    'peer.beat_unsent',
    'A datagram could not be sent.',
    logging.DEBUG,
)
LIMIT_UNANSWERED = define(
    8034,
    'peer.limit_unanswered',
    'A peer that decides on an account did not answer in time.',
    logging.WARNING,
)
KEY_TRUST_CHANGED = define(
    8040,
    'keys.trust_changed',
    'The proof of the route table became too old for keys, or fresh again.',
    logging.WARNING,
)
LOG_LINES_DROPPED = define(
    8050,
    'log.lines_left_out',
    'Log lines were dropped: over the rate, or the output was not read.',
    logging.WARNING,
)
REQUEST_SENT = define(
    8100,
    'request.sent',
    'A request was sent to an upstream.',
    logging.DEBUG,
)
REQUEST_ATTEMPT_FAILED = define(
    8101,
    'request.attempt_failed',
    'An attempt at an upstream yielded no answer to pass on.',
)
REQUEST_ENDED = define(
    8102,
    'request.ended',
    'A caller received an answer of an upstream.',
    logging.DEBUG,
)
REQUEST_REFUSED = define(
    8103,
    'request.turned_down',
    'A request was refused by this system instead of an upstream.',
)
REQUEST_ABORTED = define(
    8104,
    'request.aborted',
    'A streamed answer broke off; the caller connection was aborted.',
    logging.WARNING,
)
REQUEST_ABANDONED = define(
    8105,
    'request.abandoned',
    'The caller disconnected before its answer was complete.',
)
REQUEST_CUT = define(
    8113,
    'request.cut',
    'The end of the grace period reset the connection of a request whose '
    'caller had not left.',
    logging.WARNING,
)
REQUEST_PASSED_ON = define(
    8110,
    'request.passed_on',
    'A request was passed on to a peer that reaches upstreams.',
    logging.DEBUG,
)
REQUEST_PASS_FAILED = define(
    8111,
    'request.pass_failed',
    'A request that was passed on to a peer got no answer of an upstream.',
)
REQUEST_TAKEN_OVER = define(
    8112,
    'request.taken_over',
    'A peer passed a request on to this VM.',
    logging.DEBUG,
)
CUT_OFF = define(
    8043,
    'upstreams.cut_off',
    'No upstream answers this VM; requests are passed on to peers.',
    logging.WARNING,
)
REACHED_AGAIN = define(
    8044,
    'upstreams.reached_again',
    'An upstream answers this VM again.',
)
CRASH_PROVEN = define(
    8106,
    'request.crash_proven',
    'The process of an upstream ended while it ran a request.',
    logging.WARNING,
)
REQUEST_CRASHING = define(
    8107,
    'request.crashing',
    'So many upstreams ended under a request that it is refused.',
    logging.WARNING,
)
REQUEST_CLEARED = define(
    8108,
    'request.cleared',
    'A request is not refused any more: it succeeded, or is forgotten.',
)
REQUEST_ALLOWED = define(
    8109,
    'request.allowed',
    'An operator allowed a request that was refused as crashing.',
    logging.WARNING,
)
MEMORY_SHORT = define(
    8060,
    'memory.short',
    'The process is near its memory limit; requests may be refused.',
    logging.WARNING,
)
MEMORY_ENOUGH = define(
    8061,
    'memory.enough',
    'The process is well below its memory limit again.',
)
