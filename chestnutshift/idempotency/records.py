"""The record of one operation in the platform's table, and its changes.

Only the holder of a claim changes its record, always under the condition
that the row still has the version it last saw. Readers derive what they
tell callers from the record and never write.
"""

import base64
import enum
import random

import attrs
from cattrs.errors import BaseValidationError
from cattrs.preconf.json import make_converter

from chestnutshift.idempotency.exceptions import (
    KeyReusedError,
    UnreadableRecordError,
)
from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.invariants.registry import AT_MOST_ONCE, verify

TABLE = 'requests'
ID_BITS = 96

_CONVERTER = make_converter()


# The converter's own form of bytes, base 85, is slow: it is pure Python.
@_CONVERTER.register_unstructure_hook
def _encode_bytes(raw: bytes) -> str:
    return base64.b64encode(raw).decode('ascii')


@_CONVERTER.register_structure_hook
def _decode_bytes(text: str, _: type) -> bytes:
    return base64.b64decode(text)


def make_id(rng: random.Random) -> str:
    """Return a random id for an operation or a claim."""
    return f'{rng.getrandbits(ID_BITS):024x}'


class State(enum.StrEnum):
    """How far an operation got, as far as its record tells."""

    RUNNING = 'running'
    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Holder:
    """One incarnation of a VM: a restarted VM is another holder."""

    vm: str
    incarnation: str


@attrs.frozen
class Record:
    """One operation; times are seconds since 1970 on the holder's clock.

    `claim` is unique to the claim that may run the operation; `fence`
    counts the claims of this operation. The holder sends nothing after
    `send_before_s` and answers its caller by `deadline_s`.
    """

    state: State
    holder: Holder
    claim: str
    fence: int
    request_digest: str
    started_s: float
    send_before_s: float
    deadline_s: float
    outcome: Outcome | None = None

    @classmethod
    def from_row(cls, row_value: object) -> 'Record':
        """Read a row's value; raise UnreadableRecordError."""
        try:
            return _CONVERTER.structure(row_value, cls)
        except (BaseValidationError, AttributeError, TypeError) as error:
            raise UnreadableRecordError(
                'not run: the record of this key is not readable here',
            ) from error

    def to_row(self) -> object:
        """Return what the row holds: plain JSON."""
        return _CONVERTER.unstructure(self)

    def check_digest(self, request_digest: str) -> None:
        """Raise KeyReusedError for a request with other content."""
        if request_digest != self.request_digest:
            raise KeyReusedError(
                'not run: this Idempotency-Key came with another request',
            )

    def close(self, state: State, outcome: Outcome | None = None) -> 'Record':
        """Return the record at the end of its claim."""
        verify(
            AT_MOST_ONCE,
            holds=self.state is State.RUNNING and state is not State.RUNNING,
            detail=f'claim {self.claim} went from {self.state} to {state}',
        )
        return attrs.evolve(self, state=state, outcome=outcome)


def claim_again(previous: Record | None, claimed: Record) -> Record:
    """Return the record of a new claim, fenced off from the previous one.

    Only an operation that did not run may be claimed again.
    """
    if previous is None:
        return claimed
    verify(
        AT_MOST_ONCE,
        holds=previous.state is State.NOT_RUN,
        detail=f'claimed again while {previous.state}',
    )
    return attrs.evolve(claimed, fence=previous.fence + 1)
