"""Exceptions of reading and changing the configuration."""

from chestnutshift.exceptions import CodedError


class ConfigurationError(CodedError):
    """A configuration is invalid; the detail lists each problem."""

    code = 'configuration.invalid'


class ChangeConflictError(CodedError):
    """Another change was accepted first; this one was not applied."""

    code = 'configuration.conflict'


class NoConfigurationError(CodedError):
    """There is no configuration yet, so that no request can be decided."""

    code = 'configuration.none'


class UnknownNameError(CodedError):
    """A change names an unknown preset, account, key or target."""

    code = 'configuration.unknown_name'
