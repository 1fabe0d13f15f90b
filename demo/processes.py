"""Start and stop the processes of a demonstration."""

import json
import signal
import subprocess
import sys

import httpx
import trio

from demo.plan import OPERATORS_PORT, Plan
from demo.platform import PRESETS, seed_platform
from demo.settings import write_private, write_settings

READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 9


class Demonstration:
    """The running VMs and stand-ins of a plan."""

    def __init__(self, plan: Plan) -> None:
        """Keep the plan; start() starts the processes."""
        self.plan = plan
        self.vms: dict[str, subprocess.Popen] = {}
        self.standins: list[subprocess.Popen] = []

    async def start(self) -> None:
        """Start every process, and return once all VMs are ready."""
        write_settings(self.plan)
        platform = self._start_standin('standins.platform', 'platform')
        for _region, domain in self.plan.domains:
            self._start_standin('standins.upstream', f'upstreams-{domain}')
        with httpx.Client(
            base_url=self.plan.platform_url,
            verify=False,
            trust_env=False,
        ) as client:
            await _wait_until(lambda: _is_up(client, '/vms'))
            seed_platform(self.plan, client)
        for vm in self.plan.vms:
            self.start_vm(vm['name'])
        await _wait_until(self._all_vms_ready)
        self._write_demo_json(platform.pid)

    def start_vm(self, name: str) -> None:
        """Start the named VM."""
        path = self.plan.settings_path(name)
        command = [*self.plan.vm_command, '--settings', str(path), 'serve']
        self.vms[name] = subprocess.Popen(command, start_new_session=True)

    def stop(self) -> None:
        """Stop the VMs, then the stand-ins; kill those that time out."""
        _terminate(list(self.vms.values()))
        _terminate(self.standins)

    def operator_command(self, name: str, *arguments: str) -> list[str]:
        """Return the command line that runs an operator's command at a VM."""
        path = self.plan.settings_path(name)
        return [*self.plan.vm_command, '--settings', str(path), *arguments]

    def _start_standin(self, module: str, name: str) -> subprocess.Popen:
        path = self.plan.settings_path(name)
        command = [sys.executable, '-m', module, '--settings', str(path)]
        process = subprocess.Popen(command, start_new_session=True)
        self.standins.append(process)
        return process

    def _all_vms_ready(self) -> bool:
        secret = (self.plan.directory / 'operators.secret').read_text()
        headers = {'Authorization': f'Bearer {secret}'}
        with httpx.Client(
            verify=False,
            trust_env=False,
            headers=headers,
        ) as client:
            return all(
                _is_ready(client, _operators_url(vm)) for vm in self.plan.vms
            )

    def _write_demo_json(self, platform_pid: int) -> None:
        plan = self.plan
        entries = [
            {
                'vm': vm['name'],
                'region': vm['region'],
                'failure_domain': vm['failure_domain'],
                'url': vm['url'],
                'pid': self.vms[vm['name']].pid,
            }
            for vm in plan.vms
        ]
        fields = ('name', 'path', 'open', 'idempotent')
        command = ' '.join(self.operator_command(plan.vms[0]['name']))
        document = {
            'deployment': plan.name,
            'entries': entries,
            'platform': {'url': plan.platform_url, 'pid': platform_pid},
            'services': [
                {field: service[field] for field in fields}
                for service in plan.deployment['services']
            ],
            'upstreams': [
                {
                    'name': upstream['name'],
                    'service': upstream['service'],
                    'failure_domain': upstream['failure_domain'],
                    'url': f'http://{upstream["address"]}:{upstream["port"]}',
                }
                for upstream in plan.upstreams
            ],
            'keys': plan.keys,
            'operator': {'command': command, 'presets': list(PRESETS)},
        }
        text = json.dumps(document, indent=1)
        write_private(plan.directory.parent / 'demo.json', text)


def _operators_url(vm: dict[str, str]) -> str:
    return f'http://{vm["address"]}:{OPERATORS_PORT}'


def _is_up(client: httpx.Client, path: str) -> bool:
    try:
        return client.get(path).is_success
    except httpx.HTTPError:
        return False


def _is_ready(client: httpx.Client, url: str) -> bool:
    try:
        answer = client.get(f'{url}/status')
    except httpx.HTTPError:
        return False
    if answer.is_error:
        return False
    status = answer.json()
    return status['in_force_on'] == status['vms'] and status['headroom'] > 0


async def _wait_until(condition) -> None:
    with trio.fail_after(READY_TIMEOUT_S):
        while not await trio.to_thread.run_sync(condition):
            await trio.sleep(0.1)


def _terminate(processes: list[subprocess.Popen]) -> None:
    for process in processes:
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
    for stopping in processes:
        try:
            stopping.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            stopping.kill()
            stopping.wait()
