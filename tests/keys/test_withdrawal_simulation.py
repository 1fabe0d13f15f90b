"""Randomized simulations of withdrawals that spread over VMs with faults."""

import copy
import functools
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import attrs
from nose2.tools import params

from chestnutshift.configuration.model import Configuration, KeyRecord
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.freshness import Freshness, assess
from chestnutshift.keys.knowledge import Knowledge, PeerAnswer
from tests.keys import TRUST_S, make_configuration

NAMES = ('a1', 'a2', 'b1', 'b2')
PLATFORM = 'platform'
KEYS = tuple(f'{number:064x}' for number in range(1, 13))
DURATION_S = 120
STEP_S = 0.5
DELAY_MAX_S = 1.5
CAUGHT_UP_CHANCE = 0.8


@attrs.define
class SimulatedVm:
    """One VM with its key ring and its knowledge."""

    name: str
    incarnation: str
    knowledge: Knowledge
    ring: KeyRing = attrs.field(factory=KeyRing)
    configuration: Configuration | None = None
    frozen_until: float = 0

    def learn(self) -> None:
        """Update the ring from this VM's knowledge."""
        self.ring.update_knowledge(self.knowledge.view(TRUST_S))

    def adopt(self, configuration: Configuration | None) -> None:
        """Adopt a configuration of a VM or the platform, if there is one."""
        if configuration is None:
            return
        self.ring.adopt(configuration)
        known = self.configuration
        if known is None or configuration.number > known.number:
            self.configuration = configuration


class Simulation:
    """Four VMs and a platform over an unreliable network."""

    def __init__(self, seed: int, *, with_faults: bool) -> None:
        """Set up connected VMs.

        `with_faults` enables partitions, frozen VMs and restarts.
        """
        self.rng = random.Random(seed)
        self.now: float = 0
        self.freshness_counts: Counter[Freshness] = Counter()
        self.accepted: dict[str, float] = {}
        self._with_faults = with_faults
        self._partitions = dict.fromkeys((*NAMES, PLATFORM), 0)
        self._pending: set[str] = set()
        self._queue: list = []
        self._order = itertools.count()
        records = {key: KeyRecord('konya', 'test') for key in KEYS}
        self._written = attrs.evolve(make_configuration(), keys=records)
        self._vms = {name: self._start(name) for name in NAMES}

    def run(self, until: float) -> None:
        """Run until the given time, and check every VM at every step."""
        while self.now < until:
            self.now += STEP_S
            self._inject_faults()
            while self._queue and self._queue[0][0] <= self.now:
                _, _, action = heapq.heappop(self._queue)
                action()
            for vm in self._vms.values():
                if vm.frozen_until <= self.now:
                    self._query_all(vm)
                    self._check(vm)

    def disconnect_platform(self) -> None:
        """Disconnect the platform from every VM for good."""
        self._partitions[PLATFORM] = 1

    def _start(self, name: str) -> SimulatedVm:
        others = frozenset(NAMES) - {name}
        incarnation = f'{name}/{next(self._order)}'
        return SimulatedVm(name, incarnation, Knowledge(others))

    def _inject_faults(self) -> None:
        if self.rng.random() < STEP_S / 10:
            name = self.rng.choice(NAMES)
            self._withdraw(self.rng.choice(KEYS), self._vms[name])
        if not self._with_faults:
            return
        if self.rng.random() < STEP_S / 15:
            # Often only the platform is unreachable.
            partition_count = self.rng.choice((1, 1, 2, 3))
            partitions = {
                name: self.rng.randrange(partition_count) for name in NAMES
            }
            self._partitions = {
                **partitions,
                PLATFORM: self.rng.choice((0, partition_count)),
            }
        if self.rng.random() < STEP_S / 30:
            frozen = self._vms[self.rng.choice(NAMES)]
            frozen.frozen_until = self.now + self.rng.uniform(0, 20)
        if self.rng.random() < STEP_S / 20:
            name = self.rng.choice(NAMES)
            self._vms[name] = self._start(name)

    def _withdraw(self, key: str, vm: SimulatedVm) -> None:
        if vm.frozen_until > self.now:
            return
        if self._connected(vm.name, PLATFORM):
            self._write({key})
            vm.adopt(self._written)
            return
        vm.ring.withdrawals.add([key])
        self._pending.add(key)

    def _write(self, digests: frozenset[str] | set[str]) -> None:
        record = KeyRecord('konya', 'test', withdrawn=True)
        self._written = attrs.evolve(
            self._written,
            number=self._written.number + 1,
            keys={**self._written.keys, **dict.fromkeys(digests, record)},
        )
        for digest in digests:
            self.accepted.setdefault(digest, self.now)

    def _query_all(self, vm: SimulatedVm) -> None:
        read = functools.partial(self._read, vm, self.now)
        self._send(vm.name, PLATFORM, read)
        for other in NAMES:
            answer = functools.partial(self._answer, vm, other, self.now)
            if other != vm.name:
                self._send(vm.name, other, answer)

    def _read(self, vm: SimulatedVm, requested_at: float) -> None:
        written = self._written

        def receive() -> None:
            vm.adopt(written)
            vm.knowledge.confirm(requested_at)
            vm.learn()
            unwritten = vm.ring.withdrawals.unwritten
            if unwritten and self._connected(vm.name, PLATFORM):
                self._write(unwritten)
                vm.adopt(self._written)

        self._send(PLATFORM, vm.name, receive)

    def _answer(self, vm: SimulatedVm, other: str, requested_at: float) -> None:
        peer = self._vms[other]
        knowledge = peer.knowledge
        is_caught_up = self.rng.random() < CAUGHT_UP_CHANCE
        answer = PeerAnswer(
            peer.incarnation,
            self.now - knowledge.confirmed_at,
            is_caught_up,
            knowledge.is_complete,
            knowledge.lost,
        )
        digests = peer.ring.withdrawals.digests
        configuration = peer.configuration

        def receive() -> None:
            if is_caught_up:
                vm.adopt(configuration)
                vm.ring.withdrawals.add(digests)
            vm.knowledge.record_peer_answer(
                other, requested_at, answer, self.now
            )
            vm.learn()

        self._send(other, vm.name, receive)

    def _send(self, sender: str, receiver: str, action: Callable) -> None:
        """Run the action at the receiver after a random delay.

        It is lost if the two are disconnected now, or if the receiver has
        been replaced meanwhile. A frozen receiver gets it once it resumes.
        """
        if not self._connected(sender, receiver):
            return
        vm = self._vms.get(receiver)

        def deliver() -> None:
            if vm is not None and vm.frozen_until > self.now:
                self._enqueue(vm.frozen_until, deliver)
            elif vm is self._vms.get(receiver):
                action()

        delay_s = self.rng.uniform(0, DELAY_MAX_S)
        self._enqueue(self.now + delay_s, deliver)

    def _enqueue(self, when: float, action: Callable) -> None:
        heapq.heappush(self._queue, (when, next(self._order), action))

    def _connected(self, first: str, second: str) -> bool:
        return self._partitions[first] == self._partitions[second]

    def _check(self, vm: SimulatedVm) -> None:
        withdrawal_sets = [each.ring.withdrawals for each in self._vms.values()]
        for pending in self._pending:
            if all(pending in withdrawals for withdrawals in withdrawal_sets):
                self.accepted.setdefault(pending, self.now)
        self.freshness_counts[vm.ring.freshness(self.now)] += 1
        for key, accepted_at in self.accepted.items():
            if self.now > accepted_at + TRUST_S:
                assert not vm.ring.is_valid(key, self.now), key


@params(*range(40))
def test_withdrawals_are_in_force_in_time(seed):
    """No VM accepts a key for longer than trust_s after its withdrawal."""
    simulation = Simulation(seed, with_faults=True)
    simulation.run(DURATION_S)
    assert simulation.accepted
    assert simulation.freshness_counts[Freshness.FRESH]
    assert simulation.freshness_counts[Freshness.UNCERTAIN]


def test_shared_outage_keeps_keys_trusted():
    """A platform outage has no effect while all VMs answer each other."""
    simulation = Simulation(0, with_faults=False)
    simulation.run(DURATION_S)
    simulation.disconnect_platform()
    simulation.freshness_counts.clear()
    simulation.run(2 * DURATION_S)
    assert simulation.freshness_counts[Freshness.SHARED_OUTAGE]
    assert not simulation.freshness_counts[Freshness.UNCERTAIN]


def test_peer_that_is_ahead_changes_nothing():
    """The answer of a peer that is ahead doesn't invalidate earlier ones."""
    knowledge = Knowledge(frozenset(('a2',)))
    answer = PeerAnswer('a2/1', None, is_caught_up=True, is_complete=False)
    knowledge.record_peer_answer('a2', 1, answer, now=2)
    assert knowledge.is_complete
    assert assess(knowledge.view(TRUST_S), 6) is Freshness.SHARED_OUTAGE
    ahead = attrs.evolve(answer, is_caught_up=False)
    knowledge.record_peer_answer('a2', 4, ahead, now=5)
    assert assess(knowledge.view(TRUST_S), 6) is Freshness.SHARED_OUTAGE
    assert assess(knowledge.view(TRUST_S), 7) is Freshness.UNCERTAIN


def test_replaced_vm_ends_trust_until_cleared():
    """A new incarnation doesn't know what the lost one accepted.

    Keys are not trusted until the platform confirms them after the loss, or
    the lost incarnation is known to have passed on everything.
    """
    knowledge = Knowledge(frozenset(('a2',)))
    answer = PeerAnswer('a2/1', None, is_caught_up=True, is_complete=False)
    knowledge.record_peer_answer('a2', 1, answer, now=2)
    knowledge.record_peer_answer(
        'a2', 3, attrs.evolve(answer, incarnation='a2/2'), now=4
    )
    assert knowledge.lost == {'a2/1'}
    assert assess(knowledge.view(TRUST_S), 5) is Freshness.UNCERTAIN
    # The platform was asked before the loss was known, so its answer may lack
    # what the lost incarnation wrote.
    knowledge.confirm(3)
    assert assess(knowledge.view(1), 5) is Freshness.UNCERTAIN
    confirmed = copy.deepcopy(knowledge)
    confirmed.confirm(5)
    assert not confirmed.lost
    knowledge.record_peer_answer(
        'a2', 4, attrs.evolve(answer, incarnation='a2/2'), now=4
    )
    knowledge.mark_settled(['a2/1'])
    assert assess(knowledge.view(1), 5) is Freshness.SHARED_OUTAGE


def test_started_vm_needs_answer_of_complete_peer():
    """A VM that just started can't learn unwritten withdrawals otherwise.

    The platform doesn't have them yet. Answers of all listed peers also
    suffice.
    """
    knowledge = Knowledge(frozenset(('a2', 'b1')))
    knowledge.confirm(1)
    assert assess(knowledge.view(TRUST_S), 2) is Freshness.UNCERTAIN
    started = PeerAnswer('a2/2', 0, is_caught_up=True, is_complete=False)
    knowledge.record_peer_answer('a2', 1, started, now=2)
    assert assess(knowledge.view(TRUST_S), 2) is Freshness.UNCERTAIN
    among_started = copy.deepcopy(knowledge)
    among_started.record_peer_answer('b1', 1, started, now=2)
    assert among_started.is_complete
    without_lost = copy.deepcopy(knowledge)
    without_lost.record_vm_list(())
    without_lost.record_vm_list(('a2', 'b1'))
    assert not without_lost.is_complete
    without_lost.record_vm_list(('a1', 'a2'))
    assert without_lost.is_complete
    complete = attrs.evolve(started, is_complete=True)
    knowledge.record_peer_answer('a2', 2, complete, now=3)
    assert assess(knowledge.view(TRUST_S), 3) is Freshness.FRESH


def test_losses_are_passed_on():
    """A loss that a peer reports ends trust until it is cleared."""
    knowledge = Knowledge(frozenset(('a2',)))
    answer = PeerAnswer(
        'a2/1',
        None,
        is_caught_up=True,
        is_complete=True,
        lost=frozenset(('b1/1',)),
    )
    knowledge.record_peer_answer('a2', 1, answer, now=2)
    assert assess(knowledge.view(TRUST_S), 2) is Freshness.UNCERTAIN
    knowledge.mark_settled(('b1/1',))
    knowledge.record_peer_answer('a2', 2, answer, now=2)
    assert assess(knowledge.view(TRUST_S), 2) is Freshness.SHARED_OUTAGE
