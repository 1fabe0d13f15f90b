"""Errors of the operators' interface."""

import http
from typing import ClassVar

from chestnutshift.exceptions import CodedError


class OperatorError(CodedError):
    """Refusal of an operator's request; `status` is the HTTP status."""

    code = 'operators.refused'
    status: ClassVar[int] = http.HTTPStatus.BAD_REQUEST


class UnauthorizedError(OperatorError):
    """The request does not carry the operators' secret."""

    code = 'operators.stranger'
    status = http.HTTPStatus.UNAUTHORIZED


class BadRequestError(OperatorError):
    """The request is malformed."""

    code = 'operators.request'
