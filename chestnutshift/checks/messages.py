"""Message that a check reports."""

import attrs


@attrs.frozen
class CheckMessage:
    """Problem found by a check, with its key and what is allowed instead."""

    check: str
    key: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return the message as one line for operators."""
        return f'{self.check} {self.key}: {self.problem}; {self.allowed}'
