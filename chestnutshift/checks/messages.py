"""What a check reports."""

import attrs


@attrs.frozen
class CheckMessage:
    """One problem: the check's id, the key, what is wrong, what is allowed."""

    check: str
    key: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return the line that operators read."""
        return f'{self.check} {self.key}: {self.problem}; {self.allowed}'
