"""Requests and replies between VMs about the limit of a client account."""

import attrs


@attrs.frozen
class LimitQuestion:
    """The question whether a request of the account is within its limit.

    number is assigned by the sender to match the answer; is_repeat is set if
    an earlier question concerned the same request, which then does not count
    as demand again.
    """

    number: int
    account: str
    is_repeat: bool = False


@attrs.frozen
class LimitAnswer:
    """The answer to a question of that number.

    wait_s is None for a request within the limit, otherwise the seconds after
    which to try again.
    """

    number: int
    wait_s: float | None
