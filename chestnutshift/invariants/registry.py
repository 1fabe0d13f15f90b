"""Registry of the twelve invariants, and the handling of their violations.

In tests a violation raises an error. In production it is only counted, so
that a faulty check does not stop the service; the status page shows
the counts.
"""

import attrs

from chestnutshift.exceptions import CodedError


class InvariantViolationError(CodedError):
    """The program has violated one of its invariants."""

    code = 'invariants.violated'


@attrs.define
class Invariant:
    """Invariant with its name, its statement and its number of violations."""

    name: str
    statement: str
    violations: int = 0


INVARIANTS: dict[str, Invariant] = {}


def _define(name: str, statement: str) -> str:
    INVARIANTS[name] = Invariant(name, statement)
    return name


SHIFT_CAP = _define(
    'shift_cap',
    'A shift of traffic between regions stays under its cap.',
)
REGION_LOAD = _define(
    'region_load',
    'No steering decision overloads a region.',
)
KEYED_REQUEST = _define(
    'keyed_request',
    'Except on open routes, a request runs only for the account of its key.',
)
KEY_SECRECY = _define(
    'key_secrecy',
    'No upstream sees the key of a caller.',
)
KEY_WITHDRAWAL = _define(
    'key_withdrawal',
    'A withdrawn key stops working within seconds.',
)
ACCOUNT_RATE = _define(
    'account_rate',
    'No account gets more than its rate and burst over all VMs.',
)
WHOLE_ANSWER = _define(
    'whole_answer',
    'A caller gets the whole answer to its own request.',
)
TRUE_REFUSAL = _define(
    'true_refusal',
    'A refusal that says the request did not run is true.',
)
AT_MOST_ONCE = _define(
    'at_most_once',
    'A non-idempotent request runs at most once.',
)
LEAVING_UPSTREAM = _define(
    'leaving_upstream',
    'An upstream that is leaving gets no new work after a few seconds.',
)
GRACEFUL_STOP = _define(
    'graceful_stop',
    'Every planned stop is a graceful shutdown.',
)
CONFIGURATION_ORDER = _define(
    'configuration_order',
    'An accepted configuration is in force soon and never reverts.',
)


@attrs.define
class Enforcement:
    """Switch for raising an error on a violation; tests turn it on."""

    raises: bool = False


ENFORCEMENT = Enforcement()


def verify(name: str, *, holds: bool, detail: str = '') -> bool:
    """Count a violation unless the invariant holds; return holds.

    Raises InvariantViolationError only when enforcement is on.
    """
    if holds:
        return True
    invariant = INVARIANTS[name]
    invariant.violations += 1
    if ENFORCEMENT.raises:
        raise InvariantViolationError(f'{name}: {invariant.statement} {detail}')
    return False
