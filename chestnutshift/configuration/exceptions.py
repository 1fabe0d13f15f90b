"""Errors of reading and changing the configuration."""

from chestnutshift.exceptions import CodedError


class ConfigurationError(CodedError):
    """A configuration is not acceptable; the detail names each problem."""

    code = 'configuration.invalid'


class ChangeConflictError(CodedError):
    """Another operator's change came first; nothing was changed."""

    code = 'configuration.conflict'


class NoConfigurationError(CodedError):
    """This VM has no configuration yet, so it can't decide anything."""

    code = 'configuration.none'


class UnknownNameError(CodedError):
    """A change names a preset, key or target that does not exist."""

    code = 'configuration.unknown_name'
