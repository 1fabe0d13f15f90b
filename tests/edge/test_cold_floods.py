"""A cold upstream gets no more than it takes from all VMs together."""

from tests.edge.fleet_world import (
    COLD_REQUESTS_MAX,
    make_fleet_world,
    make_registration,
)

COLD_S = 3.0


# Guards against a flood after the store lost the rows of the VMs: each VM
# then took itself for the only one, and used the cold rate of the whole fleet.
def test_older_copy_without_vms() -> None:
    """The store returns from a copy in which no VM is registered."""
    world = make_fleet_world()
    world.tell([make_registration()], is_whole=True)
    world.list_members([], is_whole=True, era=2)
    world.exchange_heartbeats()
    cold = make_registration(sequence=6, cold_for_s=COLD_S)
    world.tell([cold], era=2)
    world.send_for(COLD_S, cold.upstream)
    assert 3 <= world.most_in_a_second() <= COLD_REQUESTS_MAX


# Guards against a flood after the store returned the row of an earlier run:
# all VMs then took the run that had just started for the earlier, warm one.
def test_older_copy_with_an_earlier_run() -> None:
    """The copy is older than the start of an upstream under the same id."""
    world = make_fleet_world()
    earlier = make_registration()
    world.tell([earlier], is_whole=True)
    cold = make_registration(started_at_ms=200, sequence=1, cold_for_s=COLD_S)
    world.tell([cold])
    world.tell([earlier], is_whole=True, era=2)
    world.send_for(COLD_S, cold.upstream)
    assert 3 <= world.most_in_a_second() <= COLD_REQUESTS_MAX


# Guards against a flood after the store lost the row of a cold upstream: the
# upstream that was listed again counted as a new, warm one.
def test_older_copy_without_the_upstream() -> None:
    """The upstream came back from an evacuation, and its row lacks that."""
    world = make_fleet_world()
    row = make_registration()
    world.tell([row], is_whole=True)
    for vm in world.vms:
        cold_s = vm.state.cold_s()
        vm.state.directory.evacuate(frozenset(('a1',)), cold_s, world.now)
        vm.state.directory.evacuate(frozenset(), cold_s, world.now)
    world.tell([], is_whole=True, era=2)
    world.tell([make_registration(sequence=6)], era=2)
    world.send_for(COLD_S, row.upstream)
    assert 3 <= world.most_in_a_second() <= COLD_REQUESTS_MAX


# Guards against a flood by VMs that the store turned away: they served on by
# their peers' proofs, and nobody told them that the upstream became cold.
def test_vms_that_the_store_turns_away() -> None:
    """The store serves half of the VMs as an upstream becomes cold."""
    world = make_fleet_world()
    world.tell([make_registration()], is_whole=True)
    cold = make_registration(sequence=6, cold_for_s=COLD_S)
    world.tell([cold], world.vms[:6])
    world.exchange_heartbeats()
    world.send_for(COLD_S, cold.upstream)
    assert 3 <= world.most_in_a_second() <= COLD_REQUESTS_MAX


# Guards against a flood by VMs that nobody reaches: they never learn that the
# upstream became cold, and took no news for good news.
def test_vms_without_store_and_peers() -> None:
    """Half of the VMs hear from nobody, but still reach the upstream."""
    world = make_fleet_world()
    world.tell([make_registration()], is_whole=True)
    cut_off = world.vms[6:]
    world.now += 5
    for vm in world.vms[:6]:
        vm.state.record_proof(world.now, world.now)
    cold = make_registration(sequence=6, cold_for_s=COLD_S)
    world.tell([cold], world.vms[:6])
    world.exchange_heartbeats(cut_off)
    world.send_for(COLD_S, cold.upstream, cut_off)
    assert 3 <= world.most_in_a_second() <= COLD_REQUESTS_MAX
