"""Tickets: idempotency keys that work without the store.

A ticket is issued by one incarnation of a VM and can run only there. That
incarnation remembers used tickets until they expire, so a ticket runs at most
once without any state shared between VMs.
"""

import hashlib
import hmac

import attrs

from chestnutshift.decimals import (
    INTEGER_MAX,
    UnreadableNumberError,
    read_digits,
)
from chestnutshift.idempotency.exceptions import (
    TicketExpiredError,
    TicketForgedError,
)
from chestnutshift.idempotency.records import Holder

TICKET_LIFETIME_S = 600.0
SECRET_B = 32
_PREFIX = 'cst1'
_SEPARATOR = '~'
_FIELD_COUNT = 6
_MAC_DIGITS = 32


@attrs.frozen
class Ticket:
    """A parsed ticket; only the VM that issued it can verify its MAC.

    `expires_at` is in whole seconds on trio's clock at that VM.
    """

    text: str
    holder: Holder
    expires_at: int
    mac: str


def parse_ticket(key: str) -> Ticket | None:
    """Return the ticket in an idempotency key, None if it is not a ticket."""
    fields = key.split(_SEPARATOR)
    if len(fields) != _FIELD_COUNT or fields[0] != _PREFIX:
        return None
    vm, incarnation, _, expires_at, mac = fields[1:]
    try:
        expiry = read_digits(expires_at, INTEGER_MAX)
    except UnreadableNumberError:
        return None
    return Ticket(key, Holder(vm, incarnation), expiry, mac)


@attrs.define
class TicketIssuer:
    """Issues and checks the tickets of one incarnation of a VM."""

    _holder: Holder
    _secret: bytes = attrs.field(repr=False)
    _issued_count: int = 0

    def issue(self, account: str, now: float) -> str:
        """Return a new ticket, valid for the account for TICKET_LIFETIME_S."""
        self._issued_count += 1
        fields = (
            _PREFIX,
            self._holder.vm,
            self._holder.incarnation,
            str(self._issued_count),
            str(int(now + TICKET_LIFETIME_S)),
        )
        text = _SEPARATOR.join(fields)
        return f'{text}{_SEPARATOR}{self._mac(account, text)}'

    def check(self, ticket: Ticket, account: str, now: float) -> None:
        """Raise TicketForgedError or TicketExpiredError if it is invalid."""
        text, _, _ = ticket.text.rpartition(_SEPARATOR)
        if not hmac.compare_digest(self._mac(account, text), ticket.mac):
            raise TicketForgedError(
                'not run: this VM issued no such ticket to this account',
            )
        if now > ticket.expires_at:
            raise TicketExpiredError(
                'not run now: the ticket expired; it may have been used before',
            )

    def _mac(self, account: str, text: str) -> str:
        message = f'{account}\n{text}'.encode()
        mac = hmac.new(self._secret, message, hashlib.sha256)
        return mac.hexdigest()[:_MAC_DIGITS]
