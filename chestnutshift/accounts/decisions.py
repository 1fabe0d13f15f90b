"""Decisions of admission control, with reasons and retry times."""

import math

import attrs

from chestnutshift.accounts.share import AccountShare

# Retry-after when no token will arrive, and the longest that is returned.
RETRY_DEFAULT_S = 1.0
RETRY_MAX_S = 30.0

ADMITTED = 'admitted'
UNKNOWN_ACCOUNT = 'unknown_account'
OVER_RATE = 'over_rate'
NO_SHARE = 'no_share'
WAIT = 'wait_for_loan'


@attrs.frozen
class Decision:
    """Whether a request is admitted; if not, why and when to retry.

    A wait_s above zero means that peers probably have tokens, which are
    being requested: the VM may hold the request for up to wait_s and retry.
    """

    admitted: bool
    retry_after_s: float = 0
    reason: str = ADMITTED
    wait_s: float = 0


def refuse(share: AccountShare) -> Decision:
    """Return the refusal of a request for which the share has no token."""
    wait_s = share.bucket.wait_s(1)
    if math.isinf(wait_s) or share.bucket.capacity < 1:
        wait_s = RETRY_DEFAULT_S
    return Decision(
        admitted=False,
        retry_after_s=min(wait_s, RETRY_MAX_S),
        reason=OVER_RATE if share.bucket.capacity > 0 else NO_SHARE,
    )
