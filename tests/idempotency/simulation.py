"""A small world of callers, VMs, a store and an upstream that all fail."""

import contextlib
import random
from collections import Counter

import attrs
import trio

from chestnutshift.idempotency.claims import Claim, KeyedRequest, NotRunProof
from chestnutshift.idempotency.exceptions import (
    ClaimExpiredError,
    IdempotencyError,
)
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.moments import Moment
from chestnutshift.idempotency.outcomes import AnswerRecorder, Outcome
from chestnutshift.idempotency.records import Holder
from chestnutshift.idempotency.verdicts import (
    OutcomeUnknown,
    Replay,
    Verdict,
)
from chestnutshift.storage.backends.memory import MemoryPlatform, Store
from chestnutshift.storage.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from tests.idempotency import make_ledger

TIMEOUT_S = 20.0
DELAY_MAX_S = 40.0
LOAD_DURATION_S = 120
ATTEMPTS_MAX = 3
FINAL_ATTEMPT = 'last'
EVEN_CHANCE = 0.5


@attrs.frozen
class Faults:
    """Chances of faults, per call or per step, between 0 and 1."""

    store: float = 0.3
    store_late: float = 0.1
    upstream: float = 0.5
    freeze: float = 0.1
    replacement: bool = True


NO_FAULTS = Faults(0, 0, 0, 0, replacement=False)


NOT_RUN_PROOFS = {
    'refused': NotRunProof.NOT_CONNECTED,
    'said-not-run': NotRunProof.UPSTREAM_SAID_SO,
}


class Upstream:
    """Run operations, or fail before, during or long after."""

    def __init__(self, simulation: 'Simulation') -> None:
        """Count the runs of each operation and each attempt."""
        self._simulation = simulation
        self.runs: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()

    async def exchange(self, operation: str, attempt: str) -> Outcome | str:
        """Return the outcome, or how the exchange ended without one."""
        rng = self._simulation.rng
        await trio.sleep(rng.uniform(0, 0.2))
        if rng.random() >= self._simulation.faults.upstream:
            return self._run(operation, attempt)
        ending = rng.choice(('refused', 'said-not-run', 'lost', 'ran', 'late'))
        if ending == 'ran':
            self._run(operation, attempt)
        if ending == 'late':
            self._simulation.schedule(lambda: self._run(operation, attempt))
        return ending

    def _run(self, operation: str, attempt: str) -> Outcome:
        self.runs[operation] += 1
        self.attempts[attempt] += 1
        recorder = AnswerRecorder(201, [])
        recorder.add(f'{operation} by {attempt}'.encode())
        return recorder.outcome()


class FaultyPlatform(MemoryPlatform):
    """Lose requests and answers; let writes land late."""

    def __init__(
        self, store: Store, vm: 'Vm', simulation: 'Simulation'
    ) -> None:
        """Reach the world's store for one VM."""
        super().__init__(store)
        self._vm = vm
        self._simulation = simulation

    async def commit(self, transaction):
        """Apply the transaction now, later, or never."""
        rng = self._simulation.rng
        faults = self._simulation.faults
        await self._vm.step()
        if rng.random() < faults.store:
            await trio.sleep(rng.uniform(0, 2))
            if rng.random() < EVEN_CHANCE:
                raise PlatformUnavailableError('not connected')
            if rng.random() < EVEN_CHANCE:
                self.store.tables.commit(transaction)
            raise OutcomeUnknownError('no answer')
        if rng.random() < faults.store_late:
            self._simulation.schedule(
                lambda: self.store.tables.commit(transaction)
            )
            raise OutcomeUnknownError('on its way')
        outcome = self.store.tables.commit(transaction)
        await self._vm.step()
        if not outcome.applied:
            raise ConflictError(outcome.rows)
        return outcome.rows

    async def read(self, table, key):
        """Read, unless the store is out of reach."""
        await self._vm.step()
        if self._simulation.rng.random() < self._simulation.faults.store:
            raise PlatformUnavailableError('not connected')
        return await super().read(table, key)


class Vm:
    """One incarnation of a VM; it may freeze, with or without its clock."""

    def __init__(
        self, simulation: 'Simulation', name: str, number: int
    ) -> None:
        """Start with an empty memory."""
        self.holder = Holder(name, f'i{number}')
        self.ledger: Ledger = make_ledger(
            FaultyPlatform(simulation.store, self, simulation),
            name,
            self.holder.incarnation,
            simulation.is_gone,
        )
        self.scope = trio.CancelScope()
        self._simulation = simulation
        self._frozen_until: float = 0
        self._lag_s: float = 0
        self._skew_s = simulation.rng.uniform(-2, 2)

    @property
    def moment(self) -> Moment:
        """The present time on this VM's clocks."""
        now = trio.current_time()
        return Moment(now - self._lag_s, now + self._skew_s)

    async def step(self) -> None:
        """Pass some time; perhaps freeze, all tasks of the VM together."""
        rng = self._simulation.rng
        await trio.sleep(rng.uniform(0, 0.05))
        if rng.random() < self._simulation.faults.freeze:
            frozen_s = rng.uniform(0, DELAY_MAX_S)
            self._frozen_until = trio.current_time() + frozen_s
            self._lag_s += frozen_s * rng.choice((0, 1))
        await trio.sleep_until(self._frozen_until)

    async def run(self) -> None:
        """Write ended claims down until the process dies."""
        with self.scope:
            await self.ledger.settler.run()

    async def serve(self, request: KeyedRequest, attempt: str) -> object:
        """Return an outcome, a verdict, or the refusal's error."""
        with trio.CancelScope() as scope:
            self._simulation.cancel_on_death(self, scope)
            try:
                return await self._serve(request, attempt)
            except IdempotencyError as error:
                return error
        return None

    async def _serve(self, request: KeyedRequest, attempt: str) -> object:
        claim_or_verdict = await self.ledger.begin(request, self.moment)
        if not isinstance(claim_or_verdict, Claim):
            return claim_or_verdict
        with contextlib.ExitStack() as stack:
            stack.callback(self.ledger.abandon, claim_or_verdict)
            return await self._forward(claim_or_verdict, attempt)

    async def _forward(self, claim: Claim, attempt: str) -> object:
        upstream = self._simulation.upstream
        for _ in range(ATTEMPTS_MAX):
            await self.step()
            claim.before_send(self.moment)
            await self.step()
            answer = await upstream.exchange(claim.request.key, attempt)
            await self.step()
            if isinstance(answer, Outcome):
                self.ledger.finish(claim, answer)
                return answer
            if answer not in NOT_RUN_PROOFS:
                return OutcomeUnknown()
            claim.retry(NOT_RUN_PROOFS[answer])
        return ClaimExpiredError('not run: no upstream took it')


@attrs.define
class Simulation:
    """Everything together; `answers` is what each attempt was answered."""

    rng: random.Random
    faults: Faults
    nursery: trio.Nursery
    store: Store = attrs.field(factory=Store)
    answers: dict[str, object] = attrs.field(factory=dict)
    keys: list[str] = attrs.field(factory=list)
    vms: dict[str, Vm] = attrs.field(factory=dict)
    upstream: Upstream = attrs.field(init=False)
    _started: int = 0
    _scopes: dict[Holder, list[trio.CancelScope]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start three VMs."""
        self.upstream = Upstream(self)
        for name in ('m1', 'm2', 'm3'):
            self.start_vm(name)

    def start_vm(self, name: str) -> None:
        """Start an incarnation; the earlier one may live on unnoticed."""
        self._started += 1
        self.vms[name] = Vm(self, name, self._started)
        self.nursery.start_soon(self.vms[name].run)

    def is_gone(self, holder: Holder) -> bool:
        """Tell what the platform's list says: replaced means gone."""
        return self.vms[holder.vm].holder != holder

    def cancel_on_death(self, vm: Vm, scope: trio.CancelScope) -> None:
        """Cancel the scope when the process of the VM dies."""
        self._scopes.setdefault(vm.holder, []).append(scope)

    def schedule(self, action) -> None:
        """Do something that nothing can stop, some time later."""

        async def wait() -> None:
            await trio.sleep(self.rng.uniform(0, DELAY_MAX_S))
            action()

        self.nursery.start_soon(wait)

    async def replace_vms(self) -> None:
        """Replace VMs, dead or merely frozen ones, again and again."""
        while self.faults.replacement:
            await trio.sleep(self.rng.expovariate(1) * 15)
            old = self.vms[self.rng.choice(sorted(self.vms))]
            if self.rng.random() < EVEN_CHANCE:
                old.scope.cancel()
                for scope in self._scopes.pop(old.holder, ()):
                    scope.cancel()
            self.start_vm(old.holder.vm)

    async def call(self, number: int) -> None:
        """Send one operation and its repeats, some of them at once."""
        await trio.sleep(self.rng.uniform(0, 60))
        key = f'key-{number}'
        if self.rng.random() < EVEN_CHANCE:
            vm = self.vms[self.rng.choice(sorted(self.vms))]
            key = vm.ledger.mint('konya', vm.moment)
        self.keys.append(key)
        for repeat in range(self.rng.randint(1, 5)):
            self.nursery.start_soon(self.attempt, key, f'{key}/{repeat}')
            await trio.sleep(self.rng.expovariate(1) * 3)

    async def attempt(self, key: str, attempt: str) -> None:
        """Send one request to some VM, and check its answer."""
        vm = self.vms[self.rng.choice(sorted(self.vms))]
        request = KeyedRequest('konya', key, 'digest', TIMEOUT_S)
        self.answers[attempt] = await vm.serve(request, attempt)
        self.check_answer(key, self.answers[attempt])

    def check_answer(self, key: str, answer: object) -> None:
        """Check what a caller is told against what ran so far."""
        assert self.upstream.runs[key] <= 1, key
        outcome = answer.outcome if isinstance(answer, Replay) else answer
        if isinstance(outcome, Outcome):
            assert outcome.body.startswith(key.encode())
            assert self.upstream.runs[key] == 1

    def check_end(self) -> None:
        """Check every refusal at the end of time."""
        for key, runs in self.upstream.runs.items():
            assert runs <= 1, f'{key} ran {runs} times'
        for attempt, answer in self.answers.items():
            if isinstance(answer, IdempotencyError):
                ran = self.upstream.attempts[attempt]
                assert not ran, f'{attempt} ran after {answer!r}'


async def run_simulation(
    seed: int, faults: Faults, operations: int
) -> Simulation:
    """Play one random run and return its world after the last event."""
    async with trio.open_nursery() as nursery:
        simulation = Simulation(random.Random(seed), faults, nursery)
        with trio.move_on_after(LOAD_DURATION_S):
            async with trio.open_nursery() as callers:
                callers.start_soon(simulation.replace_vms)
                for number in range(operations):
                    callers.start_soon(simulation.call, number)
                await trio.sleep_forever()
        simulation.faults = NO_FAULTS
        await trio.sleep(3 * DELAY_MAX_S)
        for key in simulation.keys:
            await simulation.attempt(key, f'{key}/{FINAL_ATTEMPT}')
        simulation.check_end()
        nursery.cancel_scope.cancel()
    return simulation


def count_answers(simulation: Simulation, kind: type[Verdict]) -> int:
    """Return how many attempts were answered with this kind."""
    return sum(
        isinstance(answer, kind) for answer in simulation.answers.values()
    )
