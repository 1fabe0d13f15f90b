"""Errors of the operators' interface."""

import http
from typing import ClassVar

from chestnutshift.exceptions import CodedError


class OperatorError(CodedError):
    """An operator's request is refused; `status` is the HTTP status."""

    code = 'operators.refused'
    status: ClassVar[int] = http.HTTPStatus.BAD_REQUEST


class StrangerError(OperatorError):
    """The request does not carry the operators' secret."""

    code = 'operators.stranger'
    status = http.HTTPStatus.UNAUTHORIZED


class BadRequestError(OperatorError):
    """The request is malformed."""

    code = 'operators.request'
