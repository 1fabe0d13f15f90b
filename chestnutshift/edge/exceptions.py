"""Errors of an edge VM."""

from chestnutshift.exceptions import CodedError


class LostHistoryError(CodedError):
    """The change feed has a gap, so the whole table must be read again."""

    code = 'edge.lost_history'


class EarlierEraError(CodedError):
    """The store answered from before its return from an older copy."""

    code = 'edge.earlier_era'


class UnsettledError(CodedError):
    """Two readings of the settings file differed."""

    code = 'edge.settings_unsettled'


class UnusableSettingsError(CodedError):
    """A VM can't run with the settings."""

    code = 'edge.settings_unusable'


class StartError(CodedError):
    """What a VM needs to start did not come in time."""

    code = 'edge.not_started'

    def __init__(self, detail: str, exit_code: int) -> None:
        """Create an error that ends the process with the exit code."""
        super().__init__(detail)
        self.exit_code = exit_code
