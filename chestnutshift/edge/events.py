"""Numbered events of an edge VM."""

import logging

from chestnutshift.events.catalogue import define

STARTED = define(8001, 'edge.started', 'An edge VM started.')
STOPPING = define(8002, 'edge.stopping', 'An edge VM was told to stop.')
STOPPED = define(8003, 'edge.stopped', 'An edge VM ended by itself.')
READY = define(
    8004,
    'edge.ready_changed',
    'An edge VM began or ceased to be ready for callers.',
)
RELOADED = define(
    8005,
    'edge.reloaded',
    'An edge VM read its settings file again.',
)
RELOAD_FAILED = define(
    8006,
    'edge.reload_failed',
    'The settings file can not be read; the settings before stay in force.',
    logging.WARNING,
)
STORE_LOST = define(
    8010,
    'store.lost',
    'The store gave no usable answer; the VM goes on with what it knows.',
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
    'Changes were missed; the table is read afresh.',
)
ROW_MALFORMED = define(
    8013,
    'store.row_malformed',
    'A row can not be decoded and counts as absent.',
    logging.WARNING,
)
POLL_RESTARTED = define(
    8014,
    'store.question_hurried',
    'Peers know more, or the proof grew old: the store is asked at once.',
)
TABLE_IN_FORCE = define(
    8020,
    'table.in_force',
    'A newer route table is in force on this VM.',
)
EVACUATIONS_CHANGED = define(
    8021,
    'evacuations.changed',
    'The failure domains whose upstreams get nothing changed.',
)
UPSTREAM_LISTED = define(
    8022,
    'upstream.listed',
    'An upstream registered itself or changed what it says.',
)
UPSTREAM_GONE = define(
    8023,
    'upstream.unlisted',
    'The registration of an upstream was removed.',
)
UPSTREAM_UNPROVEN = define(
    8024,
    'upstream.unproven',
    'An upstream failed in a way that a restart explains.',
    logging.WARNING,
)
UPSTREAM_PROVEN = define(
    8025,
    'upstream.proven',
    'A health check cleared an upstream.',
)
PEER_LOST = define(
    8030,
    'peer.lost',
    'A peer was not heard for some beats.',
    logging.WARNING,
)
PEER_REGAINED = define(8031, 'peer.regained', 'A peer is heard again.')
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
    'A peer that decides on an account left a question unanswered.',
    logging.WARNING,
)
KEYS_STALE = define(
    8040,
    'keys.trust_changed',
    'Proof of the newest table became too old for keys, or fresh again.',
    logging.WARNING,
)
LOG_LINES_DROPPED = define(
    8050,
    'log.lines_left_out',
    'Log lines were left out: over the rate, or because nobody read them.',
    logging.WARNING,
)
REQUEST_SENT = define(
    8100,
    'request.sent',
    'A request went to an upstream.',
    logging.DEBUG,
)
REQUEST_ATTEMPT_FAILED = define(
    8101,
    'request.attempt_failed',
    'One attempt at an upstream gave no answer to pass on.',
)
REQUEST_ENDED = define(
    8102,
    'request.ended',
    'A caller got an answer of an upstream.',
    logging.DEBUG,
)
REQUEST_REFUSED = define(
    8103,
    'request.turned_down',
    'A caller got an answer of the system instead of an upstream.',
)
REQUEST_ABORTED = define(
    8104,
    'request.aborted',
    'An answer broke off and its connection was reset.',
    logging.WARNING,
)
REQUEST_ABANDONED = define(
    8105,
    'request.abandoned',
    'The caller closed before its answer.',
)
