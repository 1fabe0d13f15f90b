"""Typed settings of one VM, as read from its TOML file."""

import attrs

from chestnutshift.conf import defaults


@attrs.frozen
class VmSettings:
    """The name and location of this VM."""

    name: str
    region: str
    failure_domain: str


@attrs.frozen
class TlsSettings:
    """Certificate and key of one port; both files or neither."""

    certificate_file: str = ''
    key_file: str = ''


@attrs.frozen
class CallersSettings:
    """The port for callers, with its URL and limits."""

    address: str
    port: int
    url: str
    header_limit_b: int = defaults.HEADER_LIMIT_B
    connections_max: int = defaults.CALLER_CONNECTIONS_MAX
    header_timeout_s: float = defaults.HEADER_TIMEOUT_S
    tls: TlsSettings = attrs.field(factory=TlsSettings)


@attrs.frozen
class OperatorsSettings:
    """The port for operators, with its shared secret."""

    address: str
    port: int
    secret_file: str
    tls: TlsSettings = attrs.field(factory=TlsSettings)


@attrs.frozen
class PeerAddress:
    """The name, location and addresses of a configured peer."""

    name: str
    region: str
    failure_domain: str
    address: str
    port: int
    url: str


@attrs.frozen
class PeersSettings:
    """The port for peers, the shared secret and the configured peers."""

    address: str
    port: int
    secret_file: str
    heartbeat_s: float = defaults.HEARTBEAT_S
    silence_s: float = defaults.PEER_SILENCE_S
    vms: tuple[PeerAddress, ...] = ()


@attrs.frozen
class PlatformSettings:
    """The URL of the platform's service, its poll period and timeout."""

    url: str
    poll_s: float = defaults.PLATFORM_POLL_S
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S


@attrs.frozen
class LoggingSettings:
    """Level and format of the log: plain or json lines on standard error."""

    level: str = 'info'
    form: str = 'plain'


@attrs.frozen
class StatsdSettings:
    """The StatsD server for metrics; an empty address disables them."""

    address: str = ''
    port: int = 8125
    prefix: str = 'chestnutshift'


@attrs.frozen
class Settings:
    """All settings that one VM reads at its start."""

    vm: VmSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
    statsd: StatsdSettings = attrs.field(factory=StatsdSettings)
    grace_s: float = defaults.GRACE_S
