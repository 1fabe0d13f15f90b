"""Base class of all errors that have a stable code."""


class CodedError(Exception):
    """Error that callers, operators and scripts identify by its code."""

    code = 'internal'

    def __init__(self, detail: str) -> None:
        """Create an error; detail explains this occurrence in a sentence."""
        super().__init__(detail)
        self.detail = detail
