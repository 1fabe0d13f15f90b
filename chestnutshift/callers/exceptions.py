"""Errors in reading a request's body from a caller."""

import http

from chestnutshift.exceptions import CodedError


class SlowBodyError(CodedError):
    """No byte of the body arrived within the timeout."""

    code = 'request.slow_body'
    status = http.HTTPStatus.REQUEST_TIMEOUT


class MalformedBodyError(CodedError):
    """The body violates HTTP."""

    code = 'request.malformed'
    status = http.HTTPStatus.BAD_REQUEST
