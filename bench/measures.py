"""The measures of the experiment."""

import attrs


@attrs.frozen
class Measures:
    """The measures of one case under one policy.

    headroom is the smallest share of free slots in any region; the two
    shares and the rate are fractions; over_admitted counts requests.
    """

    latency_p50_ms: float
    latency_p99_ms: float
    headroom: float
    drain_s: float
    worst_account_share: float
    wrongful_refusal_rate: float
    over_admitted: int
