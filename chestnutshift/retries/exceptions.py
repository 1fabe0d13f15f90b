"""Errors of retries and deadlines."""

from chestnutshift.exceptions import CodedError


class DeadlineExceededError(CodedError):
    """The caller's deadline has passed."""

    code = 'retries.deadline_exceeded'
