"""Test that the loss of a VM is cleared once the platform has answered.

VMs report losses to each other. Two VMs that have not cleared a loss at the
same time must not report it back to each other for ever.
"""

import attrs

from chestnutshift.keys.knowledge import Knowledge, PeerAnswer

NAMES = ('a', 'b', 'c')
HEARTBEAT_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.5
ROUNDS = 40


@attrs.define
class Vm:
    """A VM with its knowledge and the time of its next platform poll."""

    name: str
    poll_at: float
    knowledge: Knowledge

    def answer(self, now: float) -> PeerAnswer:
        """Return the answer to a peer."""
        return PeerAnswer(
            incarnation=f'{self.name}-1',
            age_s=max(0, now - self.knowledge.confirmed_at),
            is_caught_up=True,
            is_complete=True,
            lost=self.knowledge.lost,
        )

    def poll(self, now: float) -> None:
        """Poll the platform if a poll is due."""
        if now >= self.poll_at:
            self.knowledge.confirm(now)
            self.poll_at = now + POLL_INTERVAL_S


def _make_vms() -> list[Vm]:
    return [
        Vm(
            name,
            poll_at=index * POLL_INTERVAL_S / len(NAMES),
            knowledge=Knowledge(frozenset(NAMES) - {name}),
        )
        for index, name in enumerate(NAMES)
    ]


def _exchange_answers(vms: list[Vm], now: float) -> None:
    """Deliver answers that were all made before any of them is received."""
    answers = {vm.name: vm.answer(now - HEARTBEAT_INTERVAL_S) for vm in vms}
    for vm in vms:
        for name, answer in answers.items():
            if name != vm.name:
                vm.knowledge.record_peer_answer(
                    name, now - HEARTBEAT_INTERVAL_S, answer, now
                )


def test_loss_is_not_passed_back_and_forth():
    """Each VM clears the loss once the platform answers its next poll."""
    vms = _make_vms()
    for vm in vms:
        vm.poll(0)
    _exchange_answers(vms, 0)
    lost = PeerAnswer('c-0', 0, is_caught_up=True, is_complete=True)
    vms[0].knowledge.record_peer_answer('c', 0, lost, 0)
    for number in range(1, ROUNDS):
        now = number * HEARTBEAT_INTERVAL_S / 2
        for vm in vms:
            vm.poll(now)
        _exchange_answers(vms, now)
    assert [vm.knowledge.lost for vm in vms] == [
        frozenset(),
        frozenset(),
        frozenset(),
    ]
