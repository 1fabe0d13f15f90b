"""A simulation of callers, VMs, a store and an upstream, with faults."""

import contextlib
import random
from collections import Counter

import attrs
import trio

from chestnutshift.idempotency.claims import (
    Claim,
    NotRunProof,
    OperationRequest,
)
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
    """Probabilities of faults, per call or per step, from 0 to 1.

    `replacement` enables the replacement of VMs.
    """

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
    """Runs operations; fails before or after a run, or runs them late."""

    def __init__(self, simulation: 'Simulation') -> None:
        """Set up the counts of runs per operation and per attempt."""
        self._simulation = simulation
        self.runs: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()

    async def exchange(self, operation: str, attempt: str) -> Outcome | str:
        """Return the outcome, or how the exchange failed."""
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
    """Loses requests and answers, and delays writes."""

    def __init__(
        self,
        store: Store,
        vm: 'Vm',
        simulation: 'Simulation',
    ) -> None:
        """Connect one VM to the simulation's store."""
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
                lambda: self.store.tables.commit(transaction),
            )
            raise OutcomeUnknownError('on its way')
        outcome = self.store.tables.commit(transaction)
        await self._vm.step()
        if not outcome.applied:
            raise ConflictError(outcome.rows)
        return outcome.rows

    async def read(self, table, key):
        """Read a row, unless the store is unreachable."""
        await self._vm.step()
        if self._simulation.rng.random() < self._simulation.faults.store:
            raise PlatformUnavailableError('not connected')
        return await super().read(table, key)


class Vm:
    """One incarnation of a VM.

    It may freeze, and its trio clock may stand still meanwhile.
    """

    def __init__(
        self, simulation: 'Simulation', name: str, number: int
    ) -> None:
        """Set up an incarnation without claims."""
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
        """Let time pass; at random, freeze all tasks of the VM."""
        rng = self._simulation.rng
        await trio.sleep(rng.uniform(0, 0.05))
        if rng.random() < self._simulation.faults.freeze:
            frozen_s = rng.uniform(0, DELAY_MAX_S)
            self._frozen_until = trio.current_time() + frozen_s
            self._lag_s += frozen_s * rng.choice((0, 1))
        await trio.sleep_until(self._frozen_until)

    async def run(self) -> None:
        """Write closed claims until the process dies."""
        with self.scope:
            await self.ledger.record_writer.run()

    async def serve(self, request: OperationRequest, attempt: str) -> object:
        """Return an outcome, a verdict, or the error of a refusal.

        Return None if the process dies.
        """
        with trio.CancelScope() as scope:
            self._simulation.cancel_on_death(self, scope)
            try:
                return await self._serve(request, attempt)
            except IdempotencyError as error:
                return error
        return None

    async def _serve(self, request: OperationRequest, attempt: str) -> object:
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
            claim.allow_retry(NOT_RUN_PROOFS[answer])
        return ClaimExpiredError('not run: no upstream accepted it')


@attrs.define
class Simulation:
    """The whole simulation; `answers` has the answer to each attempt."""

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
        """Set up the upstream and start three VMs."""
        self.upstream = Upstream(self)
        for name in ('m1', 'm2', 'm3'):
            self.start_vm(name)

    def start_vm(self, name: str) -> None:
        """Start an incarnation; an earlier one may still be running."""
        self._started += 1
        self.vms[name] = Vm(self, name, self._started)
        self.nursery.start_soon(self.vms[name].run)

    def is_gone(self, holder: Holder) -> bool:
        """Return whether the holder was replaced, as the platform lists it."""
        return self.vms[holder.vm].holder != holder

    def cancel_on_death(self, vm: Vm, scope: trio.CancelScope) -> None:
        """Have the scope cancelled when the process of the VM dies."""
        self._scopes.setdefault(vm.holder, []).append(scope)

    def schedule(self, action) -> None:
        """Run the action after a random delay, even if its VM dies."""

        async def run_later() -> None:
            await trio.sleep(self.rng.uniform(0, DELAY_MAX_S))
            action()

        self.nursery.start_soon(run_later)

    async def replace_vms(self) -> None:
        """Replace random VMs; about half of the old ones keep running."""
        while self.faults.replacement:
            await trio.sleep(self.rng.expovariate(1) * 15)
            old = self.vms[self.rng.choice(sorted(self.vms))]
            if self.rng.random() < EVEN_CHANCE:
                old.scope.cancel()
                for scope in self._scopes.pop(old.holder, ()):
                    scope.cancel()
            self.start_vm(old.holder.vm)

    async def send_operation(self, number: int) -> None:
        """Send an operation and its repeats, some of them concurrently."""
        await trio.sleep(self.rng.uniform(0, 60))
        key = f'key-{number}'
        if self.rng.random() < EVEN_CHANCE:
            vm = self.vms[self.rng.choice(sorted(self.vms))]
            key = vm.ledger.issue_ticket('konya', vm.moment)
        self.keys.append(key)
        for repeat in range(self.rng.randint(1, 5)):
            self.nursery.start_soon(self.send_request, key, f'{key}/{repeat}')
            await trio.sleep(self.rng.expovariate(1) * 3)

    async def send_request(self, key: str, attempt: str) -> None:
        """Send one request to a random VM, and check its answer."""
        vm = self.vms[self.rng.choice(sorted(self.vms))]
        request = OperationRequest('konya', key, 'digest', TIMEOUT_S)
        self.answers[attempt] = await vm.serve(request, attempt)
        self.check_answer(key, self.answers[attempt])

    def check_answer(self, key: str, answer: object) -> None:
        """Check a caller's answer against what has run so far."""
        assert self.upstream.runs[key] <= 1, key
        outcome = answer.outcome if isinstance(answer, Replay) else answer
        if isinstance(outcome, Outcome):
            assert outcome.body.startswith(key.encode())
            assert self.upstream.runs[key] == 1

    def check_final_state(self) -> None:
        """Check that nothing ran twice, and no refused attempt at all."""
        for key, runs in self.upstream.runs.items():
            assert runs <= 1, f'{key} ran {runs} times'
        for attempt, answer in self.answers.items():
            if isinstance(answer, IdempotencyError):
                ran = self.upstream.attempts[attempt]
                assert not ran, f'{attempt} ran after {answer!r}'


async def run_simulation(
    seed: int,
    faults: Faults,
    operations: int,
) -> Simulation:
    """Run a random simulation to its end and return it."""
    async with trio.open_nursery() as nursery:
        simulation = Simulation(random.Random(seed), faults, nursery)
        with trio.move_on_after(LOAD_DURATION_S):
            async with trio.open_nursery() as callers:
                callers.start_soon(simulation.replace_vms)
                for number in range(operations):
                    callers.start_soon(simulation.send_operation, number)
                await trio.sleep_forever()
        simulation.faults = NO_FAULTS
        await trio.sleep(3 * DELAY_MAX_S)
        for key in simulation.keys:
            await simulation.send_request(key, f'{key}/{FINAL_ATTEMPT}')
        simulation.check_final_state()
        nursery.cancel_scope.cancel()
    return simulation


def count_answers(simulation: Simulation, kind: type[Verdict]) -> int:
    """Return how many attempts were answered with this kind of verdict."""
    return sum(
        isinstance(answer, kind) for answer in simulation.answers.values()
    )
