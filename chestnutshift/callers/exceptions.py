"""Errors that a caller's own side of a connection causes."""

import http

from chestnutshift.exceptions import CodedError


class SlowBodyError(CodedError):
    """No byte of the body came for too long."""

    code = 'request.slow_body'
    status = http.HTTPStatus.REQUEST_TIMEOUT


class MalformedBodyError(CodedError):
    """The body breaks the rules of HTTP."""

    code = 'request.malformed'
    status = http.HTTPStatus.BAD_REQUEST
