"""Numbered events of seats, shares and loans: 3000 to 3999."""

import logging

from chestnutshift.events.catalogue import define

SEAT_TAKEN = define(
    3001,
    'seat.taken',
    'This VM took its seat and the share of every account that goes with it.',
)
SEAT_RELEASED = define(
    3002,
    'seat.released',
    'This VM released its seat; another VM may take it at once.',
)
SEAT_LOST = define(
    3003,
    'seat.lost',
    'Another VM took the seat of this VM, which stops spending its share.',
    logging.WARNING,
)
SEAT_UNREACHABLE = define(
    3004,
    'seat.unreachable',
    'The platform did not confirm the lease of the seat.',
    logging.WARNING,
)
VM_PAUSED = define(
    3005,
    'vm.paused',
    'This VM was paused; it spends no share until the seat is renewed.',
    logging.WARNING,
)
REQUEST_REFUSED = define(
    3010,
    'account.refused',
    'A request was refused because its account has no token at this VM.',
)
