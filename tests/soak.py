"""Randomized soak test on real processes: `python -m tests.soak --seed 1`.

Callers of every client account send to random VMs while VMs are killed or
suspended and come back, and the platform fails. At the end the runs that the
upstreams recorded are compared with the answers that the callers received.
"""

import argparse
import itertools
import random
import signal
import sys
import time
import zlib
from collections import Counter

import attrs
import httpx
import trio

from tests.scenarios.deployment import Deployment, SharedDeployment

S_PER_MINUTE = 60
CALLERS_PER_ACCOUNT = 3
MEAN_PAUSE_S = 0.05
FAULT_INTERVAL_S = (1, 4)
SUSPENDED_S = (0.5, 6)
DOWN_S = (1, 5)
REUSABLE_KEYS = 200
BOOKING_PERCENT = 40
REPEATED_KEY_PERCENT = 40
MAX_DELAY_MS = 400


@attrs.frozen
class SentRequest:
    """One request of a caller and its outcome; status 0 without an answer."""

    request: str
    key: str
    account: str
    status: int
    code: str
    ran: str


@attrs.define
class Soak:
    """One soak run: its deployment, random numbers and recorded outcomes."""

    deployment: Deployment
    rng: random.Random
    sent: list[SentRequest] = attrs.field(factory=list)
    leaked: list[str] = attrs.field(factory=list)
    faults: Counter[str] = attrs.field(factory=Counter)
    started_at: float = attrs.field(factory=time.monotonic)

    async def run(self, minutes: float) -> None:
        """Send requests and inject faults for that time; end all faults."""
        with trio.move_on_after(minutes * S_PER_MINUTE):
            async with trio.open_nursery() as nursery:
                callers = itertools.product(
                    self.deployment.keys, range(CALLERS_PER_ACCOUNT)
                )
                for account, number in callers:
                    name = f'{account}-{number}'
                    nursery.start_soon(self._call, account, name)
                nursery.start_soon(self._inject_faults)
        await self.deployment.restore()

    async def _call(self, account: str, name: str) -> None:
        keys: list[str] = []
        number = 0
        while True:
            number += 1
            is_booking = self.rng.randrange(100) < BOOKING_PERCENT
            key = ''
            if is_booking:
                is_repeat = (
                    keys and self.rng.randrange(100) < REPEATED_KEY_PERCENT
                )
                key = self.rng.choice(keys) if is_repeat else f'{name}-{number}'
                keys = [*keys, key][-REUSABLE_KEYS:]
            await self._send(account, f'{name}.{number}', key)
            await trio.sleep(self.rng.uniform(0, 2 * MEAN_PAUSE_S))

    async def _send(self, account: str, request: str, key: str) -> None:
        vm = self.rng.choice(self.deployment.demonstration.plan.vms)
        headers = {
            'Authorization': f'Bearer {self.deployment.keys[account]}',
            'X-Request-Id': request,
        }
        path = '/listings/1'
        if key:
            headers['Idempotency-Key'] = key
            # A retry must be the same request, so the delay depends on the key.
            delay_ms = zlib.crc32(key.encode()) % MAX_DELAY_MS
            path = f'/bookings/1?delay_ms={delay_ms}'
        try:
            answer = await self.deployment.client.request(
                'POST' if key else 'GET',
                f'{vm["url"]}{path}',
                headers=headers,
            )
        except httpx.HTTPError as error:
            unanswered = SentRequest(
                request, key, account, 0, type(error).__name__, ''
            )
            self.sent.append(unanswered)
            return
        if self.deployment.keys[account] in answer.text:
            self.leaked.append(request)
        problem = answer.json() if answer.is_error else {}
        self.sent.append(
            SentRequest(
                request,
                key,
                account,
                answer.status_code,
                problem.get('code', ''),
                problem.get('ran', ''),
            ),
        )

    async def _inject_faults(self) -> None:
        faults = (self._kill, self._freeze, self._outage, self._lose_answers)
        while True:
            await trio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            fault = self.rng.choice(faults)
            self.faults[fault.__name__] += 1
            await fault()

    def _random_vm(self) -> str:
        return self.rng.choice(self.deployment.demonstration.plan.vms)['name']

    async def _kill(self) -> None:
        name = self._random_vm()
        self.deployment.signal_vm(name, signal.SIGKILL)
        await trio.sleep(self.rng.uniform(*DOWN_S))
        self.deployment.demonstration.start_vm(name)

    async def _freeze(self) -> None:
        name = self._random_vm()
        self.deployment.signal_vm(name, signal.SIGSTOP)
        await trio.sleep(self.rng.uniform(*SUSPENDED_S))
        self.deployment.signal_vm(name, signal.SIGCONT)

    async def _outage(self) -> None:
        await self._set_platform(outage=True)
        await trio.sleep(self.rng.uniform(*DOWN_S))
        await self._set_platform(outage=False)

    async def _lose_answers(self) -> None:
        await self._set_platform(lose_answers=self.rng.randrange(1, 5))

    async def _set_platform(self, **faults: object) -> None:
        url = f'{self.deployment.platform_url}/standin/faults'
        await self.deployment.client.put(url, json=faults)


async def find_runs(deployment: Deployment) -> list[dict]:
    """Return the runs that all upstreams recorded."""
    runs: list[dict] = []
    for upstream in deployment.demonstration.plan.upstreams:
        url = f'{deployment.upstream_url(upstream["name"])}/standin/runs'
        runs += (await deployment.client.get(url)).json()['runs']
    return runs


def find_broken_guarantees(
    soak: Soak, runs: list[dict], duration_s: float
) -> list[str]:
    """Return one line for each guarantee that was broken."""
    by_key: Counter[str] = Counter()
    for run in runs:
        by_key[run['idempotency_key']] += run['count']
    by_key.pop('', None)
    broken = [
        f'key {key} ran {count} times'
        for key, count in by_key.items()
        if count > 1
    ]
    ran_ids = {run['request_id'] for run in runs}
    broken += [
        f'{sent.request} was refused as not run ({sent.code}), but ran'
        for sent in soak.sent
        if sent.ran == 'no' and sent.request in ran_ids
    ]
    broken += [
        f'{request} got an answer that contains its key'
        for request in soak.leaked
    ]
    admitted = Counter(
        {(run['account'], run['request_id']): 1 for run in runs}.keys(),
    )
    by_account = Counter(account for account, _request in admitted)
    for account, count in by_account.items():
        limit = soak.deployment.limits(account)
        allowed = limit['rate'] * duration_s + limit['burst']
        if count > allowed:
            broken.append(f'{account} ran {count} requests, over {allowed:.0f}')
    return broken


async def find_violations(deployment: Deployment) -> list[str]:
    """Return the invariant violations that VMs report of themselves."""
    violations: list[str] = []
    for vm in deployment.demonstration.plan.vms:
        status = await deployment.status(vm)
        for name, count in status['violations'].items():
            violations.append(f'{vm["name"]}: {name} broken {count} times')
    return violations


async def run_seed(shared: SharedDeployment, seed: int, minutes: float) -> int:
    """Run the soak once; return the number of broken guarantees."""
    async with shared.restored() as deployment:
        soak = Soak(deployment, random.Random(seed))
        await soak.run(minutes)
        duration_s = time.monotonic() - soak.started_at
        runs = await find_runs(deployment)
        broken = find_broken_guarantees(soak, runs, duration_s)
        broken += await find_violations(deployment)
    outcomes = Counter(
        f'{sent.status} {sent.code}'.strip() for sent in soak.sent
    )
    lines = [
        f'seed {seed}: {len(soak.sent)} requests in {duration_s:.0f} s',
        f'faults: {dict(soak.faults)}',
        *(f'  {count:6} {answer}' for answer, count in outcomes.most_common()),
        *(f'BROKEN: {line}' for line in broken),
        f'{len(broken)} guarantees broken',
    ]
    sys.stdout.write('{0}\n'.format('\n'.join(lines)))
    return len(broken)


def main() -> None:
    """Run from the command line; exit 1 if a guarantee was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    parser.add_argument('--deployment', default='anadolu')
    arguments = parser.parse_args()
    shared = SharedDeployment(arguments.deployment)
    shared.start()
    try:
        broken = trio.run(run_seed, shared, arguments.seed, arguments.minutes)
    finally:
        shared.stop()
    sys.exit(int(broken > 0))


if __name__ == '__main__':
    main()
