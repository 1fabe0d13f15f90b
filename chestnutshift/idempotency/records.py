"""Records of operations, as stored in the platform's table.

Only the holder of a claim changes its record, always on the condition that
the row still has the version that the holder last read or wrote. Other VMs
derive a verdict from the record and never write it.
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


# The converter encodes bytes in base 85 by default, which is slow because it
# is implemented in pure Python.
@_CONVERTER.register_unstructure_hook
def _encode_bytes(raw: bytes) -> str:
    return base64.b64encode(raw).decode('ascii')


@_CONVERTER.register_structure_hook
def _decode_bytes(text: str, _: type) -> bytes:
    return base64.b64decode(text)


def make_id(rng: random.Random) -> str:
    """Return a random id for a transaction or a claim."""
    return f'{rng.getrandbits(ID_BITS):024x}'


class State(enum.StrEnum):
    """The recorded progress of an operation."""

    RUNNING = 'running'
    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Holder:
    """The incarnation of a VM that holds a claim.

    A restarted VM is another holder.
    """

    vm: str
    incarnation: str


@attrs.frozen
class Record:
    """The record of an operation and of its latest claim.

    Times are in seconds since 1970 on the holder's clock. `claim` is the
    unique id of the claim; `fence` is its number among the claims of the
    operation, a fencing token. The holder sends nothing after
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
        """Return the record in a row's value; raises UnreadableRecordError."""
        try:
            return _CONVERTER.structure(row_value, cls)
        except (BaseValidationError, AttributeError, TypeError) as error:
            raise UnreadableRecordError(
                'not run: this VM cannot read the record of this key',
            ) from error

    def to_row(self) -> object:
        """Return the row's value, which is plain JSON."""
        return _CONVERTER.unstructure(self)

    def check_digest(self, request_digest: str) -> None:
        """Raise KeyReusedError if the request's digest differs."""
        if request_digest != self.request_digest:
            raise KeyReusedError(
                'not run: this Idempotency-Key was used for another request',
            )

    def close(self, state: State, outcome: Outcome | None = None) -> 'Record':
        """Return the record of the closed claim."""
        verify(
            AT_MOST_ONCE,
            holds=self.state is State.RUNNING and state is not State.RUNNING,
            detail=f'claim {self.claim} went from {self.state} to {state}',
        )
        return attrs.evolve(self, state=state, outcome=outcome)


def claim_again(previous: Record | None, claimed: Record) -> Record:
    """Return the record of a new claim, with a higher fence.

    Only an operation that did not run may be claimed again.
    """
    if previous is None:
        return claimed
    verify(
        AT_MOST_ONCE,
        holds=previous.state is State.NOT_RUN,
        detail=f'claimed again in state {previous.state}',
    )
    return attrs.evolve(claimed, fence=previous.fence + 1)
