"""What VMs ask each other about the limit of a client account."""

import attrs


@attrs.frozen
class LimitQuestion:
    """Ask whether a request of the account is within its limit.

    number is the asker's own; is_repeat is set if an earlier question was of
    the same request.
    """

    number: int
    account: str
    is_repeat: bool = False


@attrs.frozen
class LimitAnswer:
    """The answer: wait_s is None for a request within the limit."""

    number: int
    wait_s: float | None
