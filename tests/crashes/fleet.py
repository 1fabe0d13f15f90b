"""A fleet of crash registers in simulated time, with upstreams that end."""

import random
from collections.abc import Callable

import attrs

from chestnutshift.crashes.register import CrashRegister, Standing
from chestnutshift.crashes.suspects import run_number

VMS = [f'vm-{number}' for number in range(12)]
DOMAINS = 6
UPSTREAMS_PER_DOMAIN = 3
STEP_S = 0.05
HEARTBEAT_S = 0.25
HEARTBEAT_LOSS = 0.05
RESTART_S = 3.0
# From an end until it is proved.
PROOF_S = (0.05, 1.0)
# Fingerprints of requests that end each upstream that runs them.
GUILTY = range(1, 4)
FIRST_INNOCENT = 4


@attrs.define(eq=False)
class SimUpstream:
    """An upstream process: its run, and when it is back after an end."""

    number: int
    domain: int
    run: int
    back_at: float = 0


@attrs.define(eq=False)
class SimRequest:
    """A request in progress at an upstream."""

    fingerprint: int
    vm: int
    upstream: SimUpstream
    run: int
    ends_at: float
    is_single: bool


@attrs.define
class Fleet:
    """VMs that send requests to upstreams and tell each other of suspects.

    arrivals are the times at which guilty requests reached an upstream, ends
    those at which upstreams ended under them, by fingerprint; refused counts
    refusals of other requests.
    """

    rng: random.Random
    upstreams_per_domain: int = UPSTREAMS_PER_DOMAIN
    restart_s: float = RESTART_S
    now: float = 0
    arrivals: dict[int, list[float]] = attrs.field(init=False)
    ends: dict[int, list[float]] = attrs.field(init=False)
    refused: int = 0
    served: int = 0
    _registers: list[CrashRegister] = attrs.field(init=False)
    _upstreams: list[SimUpstream] = attrs.field(init=False)
    _running: list[SimRequest] = attrs.field(factory=list)
    _proofs: list[tuple[float, SimRequest, float]] = attrs.field(factory=list)
    _run_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the VMs and upstreams."""
        self.arrivals = {fingerprint: [] for fingerprint in GUILTY}
        self.ends = {fingerprint: [] for fingerprint in GUILTY}
        self._registers = [CrashRegister(vm) for vm in VMS]
        self._upstreams = [
            SimUpstream(
                number,
                number // self.upstreams_per_domain,
                self._next_run(number),
            )
            for number in range(DOMAINS * self.upstreams_per_domain)
        ]

    def run(self, duration_s: float, step: Callable[['Fleet'], None]) -> None:
        """Advance the time; step is called at each moment."""
        end = self.now + duration_s
        next_beat_at = self.now
        while self.now < end:
            step(self)
            self._finish()
            self._prove()
            if self.now >= next_beat_at:
                next_beat_at += HEARTBEAT_S
                self._exchange_heartbeats()
            self.now += STEP_S

    def send(self, fingerprint: int, work_s: float) -> None:
        """Send a request to a random VM, which sends it to an upstream."""
        vm = self.rng.randrange(len(VMS))
        standing = self._registers[vm].standing(fingerprint, VMS, self.now)
        is_tried = any(
            running.vm == vm and running.fingerprint == fingerprint
            for running in self._running
        )
        if standing is Standing.REFUSED or (
            standing is Standing.ON_TRIAL and is_tried
        ):
            self.refused += fingerprint not in GUILTY
            return
        self._start(
            fingerprint, vm, work_s, is_single=standing is not Standing.CLEAR
        )

    def end(self, condition: Callable[[SimUpstream], bool]) -> None:
        """End the upstreams for which the condition holds."""
        for upstream in self._upstreams:
            if self.now >= upstream.back_at and condition(upstream):
                self._end(upstream)

    def _start(
        self, fingerprint: int, vm: int, work_s: float, *, is_single: bool
    ) -> None:
        up = [one for one in self._upstreams if self.now >= one.back_at]
        if not up:
            return
        # Each request has its preferred upstreams, the first that is up.
        ranked = sorted(up, key=lambda one: hash((fingerprint, one.number)))
        upstream = self.rng.choice(ranked[:2])
        if fingerprint in GUILTY:
            self.arrivals[fingerprint].append(self.now)
            work_s = 0
        self._running.append(
            SimRequest(
                fingerprint,
                vm,
                upstream,
                upstream.run,
                self.now + work_s,
                is_single,
            )
        )

    def _finish(self) -> None:
        for request in tuple(self._running):
            if request not in self._running or request.ends_at > self.now:
                continue
            if request.fingerprint in GUILTY:
                self.ends[request.fingerprint].append(self.now)
                self._end(request.upstream)
                continue
            self._running.remove(request)
            self.served += 1
            register = self._registers[request.vm]
            register.record_success(request.fingerprint, self.now)

    def _end(self, upstream: SimUpstream) -> None:
        """End a process; its requests break, and some are sent again."""
        lost = [one for one in self._running if one.upstream is upstream]
        self._running = [one for one in self._running if one not in lost]
        upstream.run = self._next_run(upstream.number)
        upstream.back_at = self.now + self.restart_s
        for request in lost:
            proven_at = self.now + self.rng.uniform(*PROOF_S)
            self._proofs.append((proven_at, request, self.now))
            if not request.is_single:
                work_s = self.rng.uniform(0.3, 3)
                self._start(
                    request.fingerprint, request.vm, work_s, is_single=True
                )

    def _prove(self) -> None:
        for proof in tuple(self._proofs):
            proven_at, request, lost_at = proof
            register = self._registers[request.vm]
            if proven_at <= self.now or register.has_ended(request.run):
                self._proofs.remove(proof)
                register.record_end(request.fingerprint, request.run, lost_at)

    def _exchange_heartbeats(self) -> None:
        for sender in self._registers:
            reports = sender.reports(self.now)
            for receiver in self._registers:
                is_lost = self.rng.random() < HEARTBEAT_LOSS
                if receiver is not sender and not is_lost:
                    receiver.apply(reports, self.now)

    def _next_run(self, address: int) -> int:
        self._run_count += 1
        domain = address // self.upstreams_per_domain
        return run_number(domain, address, self._run_count)
