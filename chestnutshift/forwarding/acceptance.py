"""Checks of a request before it is sent anywhere.

They cover its route, limits, crossing proof, key and the account's rate.
"""

import attrs
import trio

from chestnutshift.accounts.admission import Admission
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import Preset, Service
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding.crossing import (
    Crossing,
    CrossingVerifier,
    RequestLine,
)
from chestnutshift.forwarding.heads import RedactedRequest, redact_request
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.forwarding.requests import (
    CallerRequest,
    body_too_large,
    find_service,
)
from chestnutshift.invariants.registry import KEYED_REQUEST, verify
from chestnutshift.keys import credentials
from chestnutshift.keys.authentication import Identity, KeyRing

# Interval at which a request that waits for a loan checks for a token.
LOAN_POLL_S = 0.005
ANONYMOUS = Identity(account='', digest='')


class OverRateError(CodedError):
    """The account has used up its rate and burst."""

    code = 'accounts.over_rate'
    status = 429

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Set the seconds after which a token will be available."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


@attrs.frozen
class Accepted:
    """A request that may run, with its account and its deadline.

    redacted is the request as upstreams may see it, without the key.
    deadline is a time on trio's clock. crossing is None unless another VM
    forwarded the request.
    """

    request: CallerRequest
    redacted: RedactedRequest
    service: Service
    preset: Preset
    identity: Identity
    deadline: float
    crossing: Crossing | None = None

    @property
    def account(self) -> str:
        """The account that the request runs for; empty on open routes."""
        return self.identity.account

    @property
    def needs_claim(self) -> bool:
        """Whether this VM must claim the request so that it runs only once.

        The VM that sent a crossing holds its claim.
        """
        if self.service.idempotent or self.request.is_safe:
            return False
        return self.crossing is None


@attrs.frozen
class RequestAcceptor:
    """Decides whether a request may run."""

    _holder: ConfigurationHolder
    _key_ring: KeyRing
    _admission: Admission
    _crossing_verifier: CrossingVerifier

    def accept(self, request: CallerRequest, now: float) -> Accepted:
        """Return the request if it may run.

        Raises a CodedError for a request to refuse; it has not run.
        """
        configuration = self._holder.current
        service = find_service(configuration, request.path)
        preset = configuration.preset
        timeout_s = request.timeout_s(preset.deadline_s)
        _check_content_length(request, preset.body_limit_b)
        line = RequestLine(request.request_id, request.method, request.target)
        crossing = self._crossing_verifier.read(request.headers, line)
        if crossing is None:
            identity = self._identify(request, service, now)
        else:
            identity = Identity(crossing.account, '')
        return Accepted(
            request=request,
            redacted=redact_request(request),
            service=service,
            preset=preset,
            identity=identity,
            deadline=now + timeout_s,
            crossing=crossing,
        )

    async def admit(self, accepted: Accepted) -> None:
        """Spend a token of the account; wait if peers may lend one.

        Raises OverRateError.
        """
        if accepted.crossing is not None or accepted.identity is ANONYMOUS:
            return
        account = accepted.account
        now = trio.current_time()
        decision = self._admission.admit(account, now)
        give_up_at = now + decision.wait_s
        while not decision.admitted and now < give_up_at:
            await trio.sleep(LOAN_POLL_S)
            now = trio.current_time()
            decision = self._admission.admit(account, now, repeated=True)
        if not decision.admitted:
            raise OverRateError(
                f'not run: {account}: {decision.reason}',
                decision.retry_after_s,
            )

    def identify_caller(self, request: CallerRequest, now: float) -> Identity:
        """Return the identity of the request's key; raises as `accept` does."""
        key = credentials.read_key(request.headers)
        return self._key_ring.authenticate(key, now)

    def _identify(
        self,
        request: CallerRequest,
        service: Service,
        now: float,
    ) -> Identity:
        if service.open:
            return ANONYMOUS
        identity = self.identify_caller(request, now)
        verify(
            KEYED_REQUEST,
            holds=bool(identity.account),
            detail=request.request_id,
        )
        return identity


def _check_content_length(request: CallerRequest, limit_b: int) -> None:
    announced = request.header(b'content-length') or b'0'
    if not announced.isdigit():
        problem = Problem(
            400, 'request.length', 'Content-Length is not a number'
        )
        raise RefusalError(problem)
    if int(announced) > limit_b:
        raise RefusalError(body_too_large(limit_b))
