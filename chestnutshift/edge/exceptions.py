"""Errors of an edge VM."""

from chestnutshift.exceptions import CodedError


class LostHistoryError(CodedError):
    """Changes were missed, so everything must be read afresh."""

    code = 'edge.lost_history'
