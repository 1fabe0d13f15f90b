"""Parses one request and formats its answer."""

import h11

from chestnutshift.conf import defaults

_HEAD = b'HEAD '


class RequestParser(h11.Connection):
    """The parser of one request.

    It tells whether that is a HEAD request from its first bytes, also if the
    head of the request can't be parsed: its refusal must not have a body.
    """

    def __init__(self) -> None:
        """Start without any bytes; callers bound the length of the head."""
        super().__init__(
            h11.SERVER,
            max_incomplete_event_size=defaults.HEADER_LIMIT_MAX_B,
        )
        self._first_bytes = b''

    @property
    def is_head_request(self) -> bool:
        """Whether the request is a HEAD request, as far as it has come."""
        return self._first_bytes == _HEAD

    @property
    def has_rest(self) -> bool:
        """Whether the request goes on, or its end is unknown."""
        return self.their_state in {h11.SEND_BODY, h11.ERROR}

    def receive_data(self, data: bytes) -> None:
        """Add bytes that were received; empty at the end of the stream."""
        if len(self._first_bytes) < len(_HEAD):
            self._first_bytes = (self._first_bytes + data)[: len(_HEAD)]
        super().receive_data(data)
