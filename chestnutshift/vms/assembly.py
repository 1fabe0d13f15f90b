"""Construction of the state of an entry VM."""

import random
import secrets
from collections.abc import Callable

import trio

from chestnutshift.accounts.admission import Admission
from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.polling import PlatformPoller
from chestnutshift.events.log import EventLog
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.records import Holder
from chestnutshift.idempotency.retention import Sweeper
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.cancellation import RequestCanceller
from chestnutshift.keys.knowledge import Knowledge
from chestnutshift.metrics.measures import Measures
from chestnutshift.metrics.sender import make_metrics_sender
from chestnutshift.storage.backends.base import Platform
from chestnutshift.vms import seats
from chestnutshift.vms.local_upstreams import LocalUpstreams
from chestnutshift.vms.lookups import LookupResponder
from chestnutshift.vms.membership import Membership
from chestnutshift.vms.state import VmState
from chestnutshift.vms.steering import RegionSteering

INCARNATION_B = 8


def make_state(settings: Settings, platform: Platform) -> VmState:
    """Construct the state of a starting VM, with a new incarnation."""
    name = settings.vm.name
    incarnation = secrets.token_hex(INCARNATION_B)
    event_log = EventLog(name)
    rng = random.Random(incarnation)
    holder = ConfigurationHolder()
    membership = Membership(settings.peers.vms, settings.peers.silence_s)
    seat_holder = seats.holder_name(name, incarnation)
    key_ring = KeyRing()
    steering = RegionSteering(settings, membership, rng)
    is_gone = _make_gone_check(name, incarnation, membership)
    return VmState(
        settings=settings,
        incarnation=incarnation,
        event_log=event_log,
        platform=platform,
        holder=holder,
        platform_poller=PlatformPoller(platform, holder, event_log),
        membership=membership,
        key_ring=key_ring,
        knowledge=Knowledge(
            frozenset(peer.name for peer in membership.peers),
        ),
        request_canceller=RequestCanceller(key_ring),
        seat_manager=seats.make_seat_manager(
            name, seat_holder, platform, event_log
        ),
        admission=Admission(
            seat_holder,
            1 + len(membership.peers),
            rng,
            log=event_log,
        ),
        ledger=Ledger(
            platform,
            Holder(name, incarnation),
            random.SystemRandom(),
            event_log,
            is_gone,
        ),
        sweeper=Sweeper(platform, rng, event_log, is_gone),
        local_upstreams=LocalUpstreams(settings, rng, event_log),
        steering=steering,
        measures=Measures(make_metrics_sender(settings)),
        lookups=LookupResponder(
            settings,
            membership,
            steering,
            event_log,
            trio.current_time(),
        ),
    )


def _make_gone_check(
    name: str,
    incarnation: str,
    membership: Membership,
) -> Callable[[Holder], bool]:
    def is_gone(holder: Holder) -> bool:
        """Return whether the holder's VM has another incarnation by now."""
        if holder.vm == name:
            return holder.incarnation != incarnation
        peer = membership.get(holder.vm)
        known_incarnation = peer.incarnation if peer else ''
        return known_incarnation not in {'', holder.incarnation}

    return is_gone
