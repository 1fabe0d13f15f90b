"""Refusals as application/problem+json, with a stable error code."""

import enum
import http
import json
import math

import attrs

from chestnutshift.exceptions import CodedError

ACCOUNT_HEADER = b'chestnutshift-account'
RAN_HEADER = b'chestnutshift-ran'
REQUEST_ID_HEADER = b'x-request-id'


class Ran(enum.StrEnum):
    """Whether a refused request has run."""

    NOT_RUN = 'no'
    UNKNOWN = 'unknown'


@attrs.frozen
class Problem:
    """A refusal that a caller gets instead of an upstream's answer."""

    status: int
    code: str
    detail: str
    ran: Ran = Ran.NOT_RUN
    retry_after_s: float | None = None

    def headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Return the headers of the refusal."""
        headers = [
            (b'content-type', b'application/problem+json'),
            (b'cache-control', b'no-store'),
            (RAN_HEADER, self.ran.encode()),
            (REQUEST_ID_HEADER, request_id.encode()),
        ]
        if self.retry_after_s is not None:
            # Retry-After has whole seconds; rounded up to avoid early retries.
            seconds = max(1, math.ceil(self.retry_after_s))
            headers.append((b'retry-after', str(seconds).encode()))
        if self.status == http.HTTPStatus.UNAUTHORIZED:
            headers.append((b'www-authenticate', b'Bearer'))
        return headers

    def body(self, request_id: str) -> bytes:
        """Return the JSON body of the refusal."""
        document = {
            'type': f'urn:chestnutshift:problem:{self.code}',
            'title': http.HTTPStatus(self.status).phrase,
            'status': self.status,
            'code': self.code,
            'detail': self.detail,
            'ran': self.ran,
            'request': request_id,
        }
        if self.retry_after_s is not None:
            document['retry_after_s'] = round(self.retry_after_s, 3)
        return json.dumps(document).encode()


class RefusalError(CodedError):
    """A request is refused with a problem."""

    def __init__(self, problem: Problem) -> None:
        """Set the problem to send to the caller."""
        super().__init__(problem.detail)
        self.code = problem.code
        self.problem = problem


# HTTP status by code of errors that other packages raise before a request
# has run.
STATUS_BY_CODE = {
    'configuration.none': http.HTTPStatus.SERVICE_UNAVAILABLE,
    'keys.missing': http.HTTPStatus.UNAUTHORIZED,
    'keys.unknown': http.HTTPStatus.UNAUTHORIZED,
    'keys.withdrawn': http.HTTPStatus.UNAUTHORIZED,
    'keys.malformed': http.HTTPStatus.BAD_REQUEST,
    'keys.several': http.HTTPStatus.BAD_REQUEST,
    'keys.in_target': http.HTTPStatus.BAD_REQUEST,
    'keys.stale': http.HTTPStatus.SERVICE_UNAVAILABLE,
    'lookup.invalid_address': http.HTTPStatus.BAD_REQUEST,
    'lookup.invalid_block': http.HTTPStatus.BAD_REQUEST,
}


def problem_of(error: CodedError, ran: Ran) -> Problem:
    """Return the problem that reports an error to the caller.

    `ran` says whether the request may have run when the error ended it. If
    it may have, the problem never says that it did not.
    """
    if isinstance(error, RefusalError):
        if ran is Ran.UNKNOWN:
            return attrs.evolve(error.problem, ran=ran)
        return error.problem
    status = getattr(error, 'status', None)
    status = status or STATUS_BY_CODE.get(error.code)
    retry_after_s = getattr(error, 'retry_after_s', None)
    if status is None:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        retry_after_s = retry_after_s or 1.0
    return Problem(int(status), error.code, error.detail, ran, retry_after_s)
