"""Which VMs and upstreams a demonstration has, and where."""

import pathlib
import sys
import tomllib
from typing import Any

import attrs

VMS_PER_DOMAIN = 2
EXAMPLES = pathlib.Path('examples')


@attrs.frozen
class Ports:
    """The ports of the n-th thing in a demonstration, from a base port."""

    base: int

    def vm(self, index: int) -> tuple[int, int, int]:
        """Return a VM's ports: callers, operators, peers."""
        first = self.base + 3 * index
        return first, first + 1, first + 2

    def upstream(self, index: int) -> int:
        """Return an upstream's port."""
        return self.base + 100 + index

    @property
    def platform(self) -> int:
        """The platform's port."""
        return self.base + 99


@attrs.define
class Plan:
    """Every file and process of one demonstration."""

    deployment: dict[str, Any]
    ports: Ports
    directory: pathlib.Path
    binary: list[str]
    vms: list[dict[str, Any]] = attrs.field(factory=list)
    upstreams: list[dict[str, Any]] = attrs.field(factory=list)
    keys: dict[str, str] = attrs.field(factory=dict)

    @property
    def platform_url(self) -> str:
        """Where the stand-in platform is."""
        return f'http://127.0.0.1:{self.ports.platform}'

    @property
    def domains(self) -> list[tuple[str, str]]:
        """Regions and their failure domains."""
        return [
            (region['name'], domain)
            for region in self.deployment['regions']
            for domain in region['failure_domains']
        ]

    def settings_path(self, name: str) -> pathlib.Path:
        """Return where the named process's settings are."""
        return self.directory / f'{name}.toml'


def make_plan(name: str, base: int, directory: pathlib.Path) -> Plan:
    """Return the plan of the named deployment."""
    text = (EXAMPLES / name / 'deployment.toml').read_text()
    binary = pathlib.Path('build/chestnutshift')
    command = [sys.executable, str(binary)]
    if not binary.exists():
        command = [sys.executable, '-m', 'chestnutshift']
    plan = Plan(tomllib.loads(text), Ports(base), directory, command)
    _plan_vms(plan)
    _plan_upstreams(plan)
    return plan


def _plan_vms(plan: Plan) -> None:
    for domain_index, (region, domain) in enumerate(plan.domains):
        for number in range(VMS_PER_DOMAIN):
            index = domain_index * VMS_PER_DOMAIN + number
            callers, operators, peers = plan.ports.vm(index)
            address = f'127.0.{domain_index + 1}.{number + 1}'
            plan.vms.append(
                {
                    'name': f'{domain}-{number + 1}',
                    'region': region,
                    'failure_domain': domain,
                    'address': address,
                    'callers': callers,
                    'operators': operators,
                    'peers': peers,
                    'url': f'http://{address}:{callers}',
                }
            )


def _plan_upstreams(plan: Plan) -> None:
    index = 0
    for service in plan.deployment['services']:
        slots = service['slots']
        for number in range(service['upstreams']):
            domain_index = number % len(plan.domains)
            region, domain = plan.domains[domain_index]
            plan.upstreams.append(
                {
                    'name': f'{service["name"]}-{number + 1}',
                    'service': service['name'],
                    'region': region,
                    'failure_domain': domain,
                    'address': f'127.0.{domain_index + 1}.9',
                    'port': plan.ports.upstream(index),
                    'slots': slots[number % len(slots)],
                }
            )
            index += 1
