"""What speaks against a request, for how long, and what clears it."""

from chestnutshift.crashes.fingerprints import fingerprint
from chestnutshift.crashes.register import (
    KEPT_S,
    SUSPECTS_MAX,
    TRIAL_GAP_S,
    CrashRegister,
    Standing,
)
from chestnutshift.crashes.suspects import (
    REFUSED_FACTOR,
    REFUSED_S,
    run_number,
)

NOW = 1000.0
VMS = ('vm-1', 'vm-2')
REQUEST = 7


def _standing(register: CrashRegister, now: float) -> Standing:
    return register.standing(REQUEST, VMS, now)


def _refusing_register() -> CrashRegister:
    """Return a register that refuses the request since three ends."""
    register = CrashRegister('vm-1')
    for number in range(3):
        register.record_end(
            REQUEST, run_number(number, number, 1), NOW + 2 * number
        )
    return register


def test_ends_at_three_upstreams_refuse() -> None:
    """Two ends make a suspect, the third one leads to refusals."""
    register = CrashRegister('vm-1')
    assert _standing(register, NOW) is Standing.CLEAR
    for number, expected in enumerate(
        (Standing.SUSPECT, Standing.SUSPECT, Standing.REFUSED)
    ):
        at = NOW + 2 * number
        register.record_end(REQUEST, run_number(number, number, 1), at)
        assert _standing(register, at) is expected
    assert register.standing(REQUEST + 1, VMS, NOW + 9) is Standing.CLEAR


def test_same_end_counts_once() -> None:
    """An end that peers tell again, at another time, is no further one."""
    register = CrashRegister('vm-1')
    for age_s in range(5):
        register.record_end(REQUEST, run_number(1, 1, 1), NOW + 2 * age_s)
    assert _standing(register, NOW + 9) is Standing.SUSPECT


# An upstream that flaps by itself would convict what it happens to run.
def test_repeated_ends_of_one_upstream_count_less() -> None:
    """Three ends at one address do not suffice, five do."""
    register = CrashRegister('vm-1')
    standings = []
    for run in range(5):
        at = NOW + 2 * run
        register.record_end(REQUEST, run_number(1, 1, run), at)
        standings.append(_standing(register, at))
    assert tuple(standings) == (4 * (Standing.SUSPECT,)) + (Standing.REFUSED,)


def test_success_clears_at_all_vms() -> None:
    """An answer at one VM clears the request everywhere, once it is told."""
    register = _refusing_register()
    other = CrashRegister('vm-2')
    other.apply(register.reports(NOW + 5), NOW + 5)
    assert _standing(other, NOW + 5) is Standing.REFUSED
    assert other.record_success(REQUEST, NOW + 6)
    register.apply(other.reports(NOW + 7), NOW + 7)
    assert _standing(register, NOW + 7) is Standing.CLEAR
    # Older reports of the ends change nothing.
    third = CrashRegister('vm-3')
    third.apply(_refusing_register().reports(NOW + 5), NOW + 5)
    register.apply(third.reports(NOW + 8), NOW + 8)
    assert _standing(register, NOW + 8) is Standing.CLEAR


# Popular requests were refused beside a crashing one: that they had succeeded
# was forgotten when the proof of an earlier end came, at this VM or a peer.
def test_success_before_the_proof_clears() -> None:
    """An end counts by its time, not by that of its proof."""
    register = CrashRegister('vm-1')
    peer = CrashRegister('vm-2')
    for number in range(3):
        ended_at = NOW + 2 * number
        register.record_success(REQUEST, ended_at + 0.5)
        register.record_end(REQUEST, run_number(number, number, 1), ended_at)
        peer.record_end(REQUEST, run_number(number, number, 1), ended_at)
    assert _standing(register, NOW + 5) is Standing.CLEAR
    assert _standing(peer, NOW + 5) is Standing.REFUSED
    register.apply(peer.reports(NOW + 5), NOW + 5)
    peer.apply(register.reports(NOW + 5), NOW + 5)
    assert _standing(peer, NOW + 5) is Standing.CLEAR


# A crashing request went on while its verdict came and went: an upstream that
# it had ended before ended again, under a run that the VM did not know yet.
def test_ends_of_runs_that_are_known_late() -> None:
    """Ends at an address where the request ended another run are its doing."""
    register = _refusing_register()
    for number in range(3):
        run = run_number(number, number, 2)
        register.record_end(REQUEST + 1, run, NOW + 2 * number)
    assert _standing(register, NOW + 5) is Standing.REFUSED


# A VM that was cut off would refuse on what has been cleared meanwhile.
def test_success_is_told_to_a_vm_that_missed_it() -> None:
    """Its outdated reports make the others tell it of the success."""
    register, cut_off = _refusing_register(), _refusing_register()
    register.record_success(REQUEST, NOW + 6)
    later = NOW + 60
    assert not register.reports(later)
    register.apply(cut_off.reports(later), later)
    cut_off.apply(register.reports(later), later)
    assert _standing(cut_off, later) is Standing.CLEAR


def test_restarted_vm_learns_from_peers() -> None:
    """A VM that has forgotten all refuses again with the first heartbeat."""
    reports = _refusing_register().reports(NOW + 50)
    restarted = CrashRegister('vm-2')
    restarted.apply(reports, NOW + 50)
    assert _standing(restarted, NOW + 50) is Standing.REFUSED


# A verdict without end is an outage of a caller that was mended meanwhile.
def test_verdict_ends_in_trials() -> None:
    """VMs try a refused request in turn; another end lengthens the time."""
    registers = {vm: CrashRegister(vm) for vm in VMS}
    for register in registers.values():
        register.apply(_refusing_register().reports(NOW + 4), NOW + 4)
    due_at = NOW + 4 + REFUSED_S
    at_first = [_standing(one, due_at + 0.1) for one in registers.values()]
    assert sorted(at_first) == [Standing.ON_TRIAL, Standing.REFUSED]
    later = due_at + TRIAL_GAP_S + 0.1
    at_last = [_standing(one, later) for one in registers.values()]
    assert set(at_last) == {Standing.ON_TRIAL}
    register = registers['vm-1']
    register.record_end(REQUEST, run_number(9, 9, 1), due_at)
    again_at = due_at + REFUSED_FACTOR * REFUSED_S
    assert _standing(register, again_at - 1) is Standing.REFUSED
    assert _standing(register, again_at + TRIAL_GAP_S) is Standing.ON_TRIAL


def test_memory_is_bounded() -> None:
    """Neither many suspects nor time let the register grow."""
    register = _refusing_register()
    for number in range(2 * SUSPECTS_MAX):
        register.record_end(
            100 + number, run_number(number, number, 2), NOW + number
        )
    assert len(list(register)) == SUSPECTS_MAX
    assert register.find(REQUEST) is not None
    register.expire(NOW + 2 * SUSPECTS_MAX + KEPT_S + 1)
    assert not list(register)


def test_fingerprint_tells_requests_apart() -> None:
    """Each part of a request counts, and none runs into the next."""
    base = ('a', b'GET', 'one.example', b'/x', b'')
    changed = [
        ('b', *base[1:]),
        ('a', b'PUT', *base[2:]),
        (*base[:2], 'two.example', *base[3:]),
        (*base[:3], b'/y', b''),
        (*base[:4], b'/x'),
        (*base[:3], b'/', b'x'),
    ]
    assert fingerprint(*base) == fingerprint(*base)
    prints = {fingerprint(*one) for one in (base, *changed)}
    assert len(prints) == len(changed) + 1


# BUDGET: in a single failure domain a crashing request reached a seventh
# upstream before it was refused.
def test_ends_half_a_second_apart_in_one_domain() -> None:
    """They count each; those of a domain that lost its power count once."""
    register = CrashRegister('vm-1')
    for number in range(3):
        register.record_end(REQUEST, run_number(1, number, 1), NOW + number / 2)
    assert _standing(register, NOW + 2) is Standing.REFUSED
    register = CrashRegister('vm-1')
    for number in range(6):
        register.record_end(
            REQUEST, run_number(1, number, 1), NOW + number / 20
        )
    assert _standing(register, NOW + 2) is Standing.SUSPECT
