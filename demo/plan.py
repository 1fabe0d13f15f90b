"""Plan of a demonstration: its VMs and upstreams, and their addresses."""

import pathlib
import sys
import tomllib
from typing import Any

import attrs

VMS_PER_DOMAIN = 2
EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
BINARY = pathlib.Path('build/chestnutshift')
CALLERS_PORT = 18080
OPERATORS_PORT = 18081
PEERS_PORT = 18082
UPSTREAM_PORT = 18090
PLATFORM_PORT = 18099
# Last byte of the address of the first upstream in a failure domain.
FIRST_UPSTREAM_HOST = 10


@attrs.define
class Plan:
    """The processes of one demonstration, their addresses and files.

    Each failure domain has its own loopback subnet 127.<network>.<index>.0/24.
    Demonstrations with different network numbers can run at the same time.
    """

    deployment: dict[str, Any]
    network: int
    directory: pathlib.Path
    vm_command: list[str]
    vms: list[dict[str, Any]] = attrs.field(factory=list)
    upstreams: list[dict[str, Any]] = attrs.field(factory=list)
    keys: dict[str, str] = attrs.field(factory=dict)

    @property
    def name(self) -> str:
        """The deployment's name."""
        return self.deployment['deployment']

    @property
    def platform_address(self) -> str:
        """The address of the stand-in platform."""
        return f'127.{self.network}.0.1'

    @property
    def platform_url(self) -> str:
        """The base URL of the stand-in platform."""
        return f'http://{self.platform_address}:{PLATFORM_PORT}'

    @property
    def domains(self) -> list[tuple[str, str]]:
        """Pairs of a region's name and one of its failure domains."""
        return [
            (region['name'], domain)
            for region in self.deployment['regions']
            for domain in region['failure_domains']
        ]

    def address(self, domain_index: int, host_number: int) -> str:
        """Return an address in the subnet of a failure domain."""
        return f'127.{self.network}.{domain_index + 1}.{host_number}'

    def settings_path(self, name: str) -> pathlib.Path:
        """Return the path of the named process's settings file."""
        return self.directory / f'{name}.toml'


def make_plan(
    name: str,
    directory: pathlib.Path,
    *,
    network: int = 0,
    use_binary: bool = False,
) -> Plan:
    """Return the plan of the named deployment.

    The VMs run the built binary if use_binary is set, else the source tree.
    """
    text = (EXAMPLES / name / 'deployment.toml').read_text()
    program = [str(BINARY)] if use_binary else ['-m', 'chestnutshift']
    plan = Plan(
        deployment=tomllib.loads(text),
        network=network,
        directory=directory.resolve(),
        vm_command=[sys.executable, *program],
    )
    _plan_vms(plan)
    _plan_upstreams(plan)
    return plan


def _plan_vms(plan: Plan) -> None:
    for domain_index, (region, domain) in enumerate(plan.domains):
        for number in range(1, VMS_PER_DOMAIN + 1):
            address = plan.address(domain_index, number)
            vm = {
                'name': f'{domain}-{number}',
                'region': region,
                'failure_domain': domain,
                'address': address,
                'url': f'http://{address}:{CALLERS_PORT}',
            }
            plan.vms.append(vm)


def _plan_upstreams(plan: Plan) -> None:
    upstream_counts = [0 for _domain in plan.domains]
    for service in plan.deployment['services']:
        slots = service['slots']
        for number in range(service['upstreams']):
            domain_index = number % len(plan.domains)
            region, domain = plan.domains[domain_index]
            host_number = FIRST_UPSTREAM_HOST + upstream_counts[domain_index]
            upstream_counts[domain_index] += 1
            upstream = {
                'name': f'{service["name"]}-{number + 1}',
                'service': service['name'],
                'region': region,
                'failure_domain': domain,
                'address': plan.address(domain_index, host_number),
                'port': UPSTREAM_PORT,
                'slots': slots[number % len(slots)],
            }
            plan.upstreams.append(upstream)
