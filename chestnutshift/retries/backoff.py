"""Backoff between retries, and Retry-After times for callers."""

import math
import random

BACKOFF_BASE_S = 0.025
BACKOFF_CAP_S = 1.0
RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 60.0


def backoff_s(retry: int, rng: random.Random) -> float:
    """Return the backoff before the given retry (1 is the first), with jitter.

    The backoff is between half and all of an exponentially growing bound, so
    that retries of requests that failed at the same time spread out.
    """
    bound = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** (retry - 1))
    return bound * (1 + rng.random()) / 2


def retry_after_s(backlog: float, service_rate: float) -> float:
    """Return the whole seconds until the backlog will have been served.

    backlog is a number of requests, service_rate is requests per second. The
    result is bounded by RETRY_AFTER_MIN_S and RETRY_AFTER_MAX_S.
    """
    if service_rate <= 0:
        return RETRY_AFTER_MAX_S
    wait_s = math.ceil(backlog / service_rate)
    return min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
