"""The base of every error that has a stable code."""


class CodedError(Exception):
    """An error that callers, operators and scripts tell apart by its code."""

    code = 'internal'

    def __init__(self, detail: str) -> None:
        """Keep the sentence that explains this one occurrence."""
        super().__init__(detail)
        self.detail = detail
