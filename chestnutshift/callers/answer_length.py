"""What is known of the length of an answer before it comes."""

import trio


class AnswerLength:
    """Whether an answer may be too long to buffer, once that is known."""

    def __init__(self) -> None:
        """Start without knowing."""
        self._is_known = trio.Event()
        self._is_long = False

    @property
    def is_known(self) -> bool:
        """Whether it is known, or the request has ended."""
        return self._is_known.is_set()

    @property
    def may_be_long(self) -> bool:
        """Whether the answer may be too long, as far as is known."""
        return self._is_long or not self.is_known

    def set(self, is_long: bool) -> None:
        """Set whether the answer may be too long."""
        self._is_long = is_long
        self._is_known.set()

    async def wait(self) -> None:
        """Wait until it is known."""
        await self._is_known.wait()
