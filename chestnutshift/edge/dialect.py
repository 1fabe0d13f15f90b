"""What a request and an answer say, apart from how a wire spells it."""

import abc
from typing import Any

import attrs

from chestnutshift.forwarding.requests import Headers
from chestnutshift.registry import Registry
from chestnutshift.steering.upstreams import LoadReport
from chestnutshift.upstreams.connection import OutboundRequest


@attrs.frozen
class InboundRequest:
    """The head of a caller's request.

    timeout_s is how long the caller waits, None if it does not say; headers
    are those to pass on, without the key and without what the system sets.
    """

    request_id: str
    method: bytes
    host: str
    path: str
    target: bytes
    headers: Headers
    object_key: bytes = b''
    timeout_s: float | None = None
    key: str | None = None
    length_b: int | None = None


@attrs.frozen
class AnswerFacts:
    """What the head of an upstream's answer says beside its status.

    is_sealed tells whether an upstream vouches for it; cold_s is how long
    the upstream stays cold, None if it does not say.
    """

    request_id: str
    upstream: str
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    keep_alive_s: float | None = None
    load: LoadReport | None = None
    cold_s: float | None = None


class Dialect(abc.ABC):
    """How one kind of deployment spells heads of requests and answers."""

    @abc.abstractmethod
    def read_request(self, scope: dict[str, Any]) -> InboundRequest:
        """Return the head that an ASGI scope carries; raises RefusalError."""

    @abc.abstractmethod
    def write_request(
        self,
        request: InboundRequest,
        upstream: str,
        account: str,
        remaining_s: float | None,
        body_b: int | None,
    ) -> OutboundRequest:
        """Return the request for one upstream; body_b None is a stream."""

    @abc.abstractmethod
    def write_health_check(self, path: str, host: str) -> OutboundRequest:
        """Return a health check of an upstream."""

    @abc.abstractmethod
    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Return what the head of an upstream's answer says."""

    @abc.abstractmethod
    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's answer for the caller."""

    @abc.abstractmethod
    def refusal_headers(
        self,
        request_id: str,
        retry_after_s: float | None,
    ) -> Headers:
        """Return the headers of an answer of the system's own."""


DIALECTS: Registry[type[Dialect]] = Registry('dialect')
