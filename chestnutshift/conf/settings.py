"""Typed settings of one VM, as its TOML file gives them."""

import attrs

from chestnutshift.conf import defaults


@attrs.frozen
class VmSettings:
    """Who this VM is and where it stands."""

    name: str
    region: str
    failure_domain: str


@attrs.frozen
class TlsSettings:
    """Certificates of one port; both files or neither."""

    certificate_file: str = ''
    key_file: str = ''


@attrs.frozen
class CallersSettings:
    """The port that callers use."""

    address: str
    port: int
    url: str
    header_limit_b: int = defaults.HEADER_LIMIT_B
    connections_max: int = defaults.CALLER_CONNECTIONS_MAX
    header_timeout_s: float = defaults.HEADER_TIMEOUT_S
    tls: TlsSettings = attrs.field(factory=TlsSettings)


@attrs.frozen
class OperatorsSettings:
    """The operators' port, its shared secret and how to reach it."""

    address: str
    port: int
    secret_file: str
    tls: TlsSettings = attrs.field(factory=TlsSettings)


@attrs.frozen
class PeerAddress:
    """One other entry VM as the settings know it."""

    name: str
    region: str
    failure_domain: str
    address: str
    port: int
    url: str


@attrs.frozen
class PeersSettings:
    """The port for other VMs, the shared secret, and the VMs known."""

    address: str
    port: int
    secret_file: str
    heartbeat_s: float = defaults.HEARTBEAT_S
    silence_s: float = defaults.PEER_SILENCE_S
    vms: tuple[PeerAddress, ...] = ()


@attrs.frozen
class PlatformSettings:
    """Where the platform's service is, and how often it is asked."""

    url: str
    poll_s: float = defaults.PLATFORM_POLL_S
    timeout_s: float = defaults.PLATFORM_TIMEOUT_S


@attrs.frozen
class LoggingSettings:
    """Level and form of the log: plain or json lines on standard error."""

    level: str = 'info'
    form: str = 'plain'


@attrs.frozen
class StatsdSettings:
    """Where metrics go; an empty address switches them off."""

    address: str = ''
    port: int = 8125
    prefix: str = 'chestnutshift'


@attrs.frozen
class Settings:
    """Everything that one VM reads at its start."""

    vm: VmSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    logging: LoggingSettings = attrs.field(factory=LoggingSettings)
    statsd: StatsdSettings = attrs.field(factory=StatsdSettings)
    grace_s: float = defaults.GRACE_S
