"""Errors of the command line, and the exit codes of error codes."""

from chestnutshift.exceptions import CodedError

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_PARTIAL = 4
EXIT_UNREACHABLE = 5
EXIT_UNKNOWN = 6


class UnreachableError(CodedError):
    """The operators' port did not answer; nothing was changed."""

    code = 'management.unreachable'


class OutcomeUnknownError(CodedError):
    """A change was sent without an answer; it may have been made."""

    code = 'management.outcome_unknown'


class RemoteError(CodedError):
    """The VM refused a request; the error has the code of the refusal."""

    def __init__(self, code: str, detail: str) -> None:
        """Create an error with the code and detail of the answer."""
        super().__init__(detail)
        self.code = code


class PartialError(CodedError):
    """The change was accepted, but is not in force on every VM yet."""

    code = 'management.partial'


EXIT_CODES = {
    'configuration.conflict': EXIT_CONFLICT,
    'management.partial': EXIT_PARTIAL,
    'management.unreachable': EXIT_UNREACHABLE,
    'platform.unavailable': EXIT_UNREACHABLE,
    'management.outcome_unknown': EXIT_UNKNOWN,
    'platform.outcome_unknown': EXIT_UNKNOWN,
}


def exit_code(error: CodedError) -> int:
    """Return the exit code of an error."""
    return EXIT_CODES.get(error.code, EXIT_FAILED)
