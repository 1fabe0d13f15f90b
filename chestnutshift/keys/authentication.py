"""Tell which client account a key speaks for."""

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
    """The account that a key speaks for, and the key's digest."""

    account: str
    digest: str


@attrs.define
class KeyRing:
    """The keys of the configuration in force, less those withdrawn.

    A withdrawal never reverts: no configuration revives a digest.
    """

    withdrawals: Withdrawals = attrs.field(factory=Withdrawals)
    _configuration: Configuration | None = None
    _knowledge: KnowledgeView | None = None
    _trusted_until: float = -math.inf

    @property
    def trusted_until(self) -> float:
        """When keyed requests stop unless something is heard, in seconds."""
        return self._trusted_until

    def learn(self, knowledge: KnowledgeView) -> None:
        """Take over what was heard from the platform or from a peer."""
        self._knowledge = knowledge
        self._trusted_until = trusted_until(knowledge)

    def adopt(self, configuration: Configuration) -> frozenset[str]:
        """Take over a newer configuration; return digests that end with it.

        They were withdrawn, or left out, or given to another account. An
        older configuration is ignored but for the withdrawals it lists.
        """
        ended = self.withdrawals.confirm(
            digest
            for digest, record in configuration.keys.items()
            if record.withdrawn
        )
        current = self._configuration
        if current is None:
            self._configuration = configuration
        elif configuration.number > current.number:
            self._configuration = configuration
            ended |= _ended_digests(current, configuration)
        return ended

    def freshness(self, now: float) -> Freshness:
        """Tell how far the keys may be trusted at the time `now`."""
        if self._configuration is None or self._knowledge is None:
            return Freshness.UNCERTAIN
        return assess(self._knowledge, now)

    def is_live(self, digest: str, now: float) -> bool:
        """Tell whether requests with this key's digest may go on."""
        return self.refusal(digest, now) is None

    def refusal(self, digest: str, now: float) -> KeyRefusalError | None:
        """Return why requests with this key's digest must not run, if so."""
        if digest in self.withdrawals:
            return WithdrawnKeyError('not run: this key was withdrawn')
        configuration = self._configuration
        if configuration is None or now > self._trusted_until:
            return StaleKeysError(
                'not run: this VM cannot learn of withdrawn keys just now',
            )
        if digest not in configuration.keys:
            return UnknownKeyError('not run: no account has this key')
        return None

    def recheck(
        self,
        identity: Identity,
        now: float,
    ) -> KeyRefusalError | None:
        """Return why an identity authenticated earlier works no more."""
        refusal = self.refusal(identity.digest, now)
        if refusal is not None:
            return refusal
        account = self._configuration.keys[identity.digest].account
        if account == identity.account:
            return None
        return UnknownKeyError('the key speaks for another account now')

    def authenticate(self, key: str | None, now: float) -> Identity:
        """Return the identity of a key.

        Raises MissingKeyError, WithdrawnKeyError, StaleKeysError,
        UnknownKeyError; the request has not run in any of these cases.
        """
        if key is None:
            raise MissingKeyError('not run: this route needs a key')
        # The look-up is by digest: its timing tells nothing about keys.
        digest = credentials.digest(key)
        refusal = self.refusal(digest, now)
        if refusal is not None:
            raise refusal
        return Identity(self._configuration.keys[digest].account, digest)


def _ended_digests(
    before: Configuration, after: Configuration
) -> frozenset[str]:
    return frozenset(
        digest
        for digest, record in before.keys.items()
        if digest not in after.keys
        or after.keys[digest].account != record.account
    )
