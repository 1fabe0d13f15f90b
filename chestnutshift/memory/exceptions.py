"""Errors of a VM whose memory is used up."""

import http

from chestnutshift.exceptions import CodedError


class MemoryFullError(CodedError):
    """There is no memory for a request, which has not been sent."""

    code = 'memory.full'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE
    retry_after_s = 1.0
