"""Requests and answers independent of a platform's header format.

A dialect translates between these and the headers of one platform.
"""

import abc
from collections.abc import Mapping
from typing import Any

import attrs

from chestnutshift.forwarding.requests import Headers
from chestnutshift.registry import Registry
from chestnutshift.steering.upstreams import LoadReport
from chestnutshift.upstreams.connection import OutboundRequest

_BODILESS_METHODS = frozenset((b'GET', b'HEAD'))


@attrs.frozen
class InboundRequest:
    """The head of a caller's request.

    timeout_s is the timeout that the caller states, None if it states none.
    headers are those to forward: the key and the headers that this system
    sets itself are left out. length_b is the stated length of the body, None
    if there is none.
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

    def framing_headers(self, body_b: int | None) -> Headers:
        """Return the headers that frame the body for an upstream.

        body_b is its length, None for a body that is still being received.
        """
        if body_b is None and self.length_b is None:
            return [(b'transfer-encoding', b'chunked')]
        length_b = self.length_b if body_b is None else body_b
        if length_b or body_b is None or self.method not in _BODILESS_METHODS:
            return [(b'content-length', b'%d' % length_b)]
        return []


@attrs.frozen
class AnswerFacts:
    """The fields of an upstream's answer head other than its status.

    is_sealed tells whether the answer carries an upstream's seal, the proof
    that an upstream produced it. is_not_run tells whether the upstream states
    that it did not run the request. is_encoded tells whether the body has a
    content encoding. cold_s is how long the upstream stays cold, None if it
    does not say. rate_limit is the requests per second that the upstream
    accepts from all VMs together, None if it names no limit;
    is_rate_limit_malformed tells that it names one that can't be read.
    is_leaving tells whether the upstream announces that it leaves.
    retry_after_s is when to come back, None if it names no number of seconds;
    is_retry_after_malformed tells that it names a time that can't be read.
    malformed_headers are the headers that should hold numbers and can't be
    read, each with the reason. unknown_headers are the names of headers that
    the dialect does not know.
    """

    request_id: str
    upstream: str
    is_sealed: bool
    is_not_run: bool
    is_encoded: bool
    load: LoadReport | None = None
    cold_s: float | None = None
    rate_limit: float | None = None
    is_rate_limit_malformed: bool = False
    is_leaving: bool = False
    retry_after_s: float | None = None
    is_retry_after_malformed: bool = False
    malformed_headers: Mapping[str, str] = attrs.field(factory=dict)
    unknown_headers: frozenset[bytes] = frozenset()


class Dialect(abc.ABC):
    """The header format of one platform, for requests and answers."""

    @abc.abstractmethod
    def read_request(self, scope: dict[str, Any]) -> InboundRequest:
        """Return the head that an ASGI scope carries; raises RefusalError."""

    @abc.abstractmethod
    def write_request(
        self,
        request: InboundRequest,
        upstream: str,
        account: str,
        remaining_s: float,
        body_b: int | None,
    ) -> OutboundRequest:
        """Return the request for one upstream; body_b is None for a stream.

        remaining_s is infinite for a request without a deadline.
        """

    @abc.abstractmethod
    def write_crossing(
        self,
        request: InboundRequest,
        headers: Headers,
        remaining_s: float,
        body_b: int | None,
    ) -> OutboundRequest:
        """Return the request for a peer, with the headers of the crossing."""

    @abc.abstractmethod
    def write_health_check(self, path: str, host: str) -> OutboundRequest:
        """Return a health check of an upstream."""

    @abc.abstractmethod
    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Parse the headers of an upstream's answer."""

    @abc.abstractmethod
    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's answer to pass on."""

    @abc.abstractmethod
    def refusal_headers(
        self,
        request_id: str,
        retry_after_s: float | None,
    ) -> Headers:
        """Return the headers of a refusal that this system generates."""


DIALECTS: Registry[type[Dialect]] = Registry('dialect')
