"""Authentication of callers' keys."""

import math

import attrs

from chestnutshift.configuration.model import Configuration
from chestnutshift.keys import credentials
from chestnutshift.keys.exceptions import (
    KeyRefusalError,
    MissingKeyError,
    StaleKeysError,
    UnknownKeyError,
    WithdrawnKeyError,
)
from chestnutshift.keys.freshness import (
    Freshness,
    KnowledgeView,
    assess,
    trusted_until,
)
from chestnutshift.keys.withdrawals import Withdrawals


@attrs.frozen
class Identity:
    """The client account that a key belongs to, and the key's digest."""

    account: str
    digest: str


@attrs.define
class KeyRing:
    """The keys of the configuration in force that are not withdrawn.

    A withdrawal is final: no later configuration makes its key valid again.
    """

    withdrawals: Withdrawals = attrs.field(factory=Withdrawals)
    _configuration: Configuration | None = None
    _knowledge: KnowledgeView | None = None
    _trusted_until: float = -math.inf

    @property
    def trusted_until(self) -> float:
        """The time until which keys are trusted without newer knowledge.

        In seconds on trio's clock. Requests with a key are refused after it.
        """
        return self._trusted_until

    def update_knowledge(self, knowledge: KnowledgeView) -> None:
        """Set what this VM knows from the platform and from its peers."""
        self._knowledge = knowledge
        self._trusted_until = trusted_until(knowledge)

    def adopt(self, configuration: Configuration) -> frozenset[str]:
        """Apply a newer configuration; return the digests that it invalidates.

        Their keys were withdrawn, removed or moved to another account. Of an
        older configuration only the withdrawals are applied.
        """
        invalidated = self.withdrawals.confirm(
            digest
            for digest, record in configuration.keys.items()
            if record.withdrawn
        )
        current = self._configuration
        if current is None:
            self._configuration = configuration
        elif configuration.number > current.number:
            self._configuration = configuration
            invalidated |= _invalidated_digests(current, configuration)
        return invalidated

    def freshness(self, now: float) -> Freshness:
        """Return the freshness of the keys at the time `now`, in seconds."""
        if self._configuration is None or self._knowledge is None:
            return Freshness.UNCERTAIN
        return assess(self._knowledge, now)

    def is_valid(self, digest: str, now: float) -> bool:
        """Return whether requests with this key's digest may run."""
        return self.refusal(digest, now) is None

    def refusal(self, digest: str, now: float) -> KeyRefusalError | None:
        """Return the reason not to run requests with this key's digest.

        Return None if they may run.
        """
        if digest in self.withdrawals:
            return WithdrawnKeyError('not run: this key was withdrawn')
        configuration = self._configuration
        if configuration is None or now > self._trusted_until:
            return StaleKeysError(
                'not run: this VM cannot currently learn of withdrawn keys',
            )
        if digest not in configuration.keys:
            return UnknownKeyError('not run: no account has this key')
        return None

    def recheck(
        self,
        identity: Identity,
        now: float,
    ) -> KeyRefusalError | None:
        """Return the reason to refuse an identity authenticated earlier.

        Return None if it is still valid.
        """
        refusal = self.refusal(identity.digest, now)
        if refusal is not None:
            return refusal
        account = self._configuration.keys[identity.digest].account
        if account == identity.account:
            return None
        return UnknownKeyError('the key belongs to another account now')

    def authenticate(self, key: str | None, now: float) -> Identity:
        """Return the identity of a key.

        Raises MissingKeyError, WithdrawnKeyError, StaleKeysError,
        UnknownKeyError; the request has not run in any of these cases.
        """
        if key is None:
            raise MissingKeyError('not run: this route requires a key')
        # Keys are looked up by digest, so the timing reveals nothing of them.
        digest = credentials.digest(key)
        refusal = self.refusal(digest, now)
        if refusal is not None:
            raise refusal
        return Identity(self._configuration.keys[digest].account, digest)


def _invalidated_digests(
    before: Configuration, after: Configuration
) -> frozenset[str]:
    return frozenset(
        digest
        for digest, record in before.keys.items()
        if digest not in after.keys
        or after.keys[digest].account != record.account
    )
