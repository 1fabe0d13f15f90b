"""Budgets that keep retries a small fraction of the first attempts."""

import attrs

from chestnutshift.configuration.model import RetriesPreset

# Time in which an empty budget regains its whole reserve.
RESERVE_REFILL_S = 60.0


@attrs.define
class _Bucket:
    """A token bucket of allowed retries, filled by attempts and by time."""

    tokens: float
    updated_at: float

    def refill(self, reserve: float, now: float) -> None:
        """Add the tokens that accrued over time, up to the reserve.

        The refill over time allows retries to a service with few requests.
        """
        elapsed_s = max(0.0, now - self.updated_at)  # noqa: WPS358
        self.tokens = min(
            reserve,
            self.tokens + reserve * elapsed_s / RESERVE_REFILL_S,
        )
        self.updated_at = now


class RetryBudget:
    """Retry budgets, one for each service and one for each account.

    A retry needs a token of both, so that neither a failing service nor one
    account's failing requests multiply the traffic of the others.
    """

    def __init__(self, preset: RetriesPreset) -> None:
        """Start with the full reserve in every budget."""
        self._preset = preset
        self._services: dict[str, _Bucket] = {}
        self._accounts: dict[str, _Bucket] = {}

    @property
    def preset(self) -> RetriesPreset:
        """The ratio and reserve in force."""
        return self._preset

    @preset.setter
    def preset(self, preset: RetriesPreset) -> None:
        """Replace the preset without resetting the budgets."""
        self._preset = preset

    def record_attempt(self, service: str, account: str, now: float) -> None:
        """Count a first attempt, which adds a fraction of a token."""
        for bucket in self._buckets(service, account, now):
            bucket.tokens += self._preset.ratio

    def allow(self, service: str, account: str, now: float) -> bool:
        """Take a token from both budgets; tell whether both had one.

        Otherwise both budgets are unchanged.
        """
        buckets = self._buckets(service, account, now)
        if any(bucket.tokens < 1 for bucket in buckets):
            return False
        for bucket in buckets:
            bucket.tokens -= 1
        return True

    def _buckets(
        self,
        service: str,
        account: str,
        now: float,
    ) -> tuple[_Bucket, _Bucket]:
        reserve = self._preset.reserve
        buckets = (
            self._services.setdefault(service, _Bucket(reserve, now)),
            self._accounts.setdefault(account, _Bucket(reserve, now)),
        )
        for bucket in buckets:
            bucket.refill(reserve, now)
        return buckets
