"""Targets of requests: upstreams and VMs of other failure domains."""

import secrets

import attrs
import trio

from chestnutshift.decimals import UnreadableNumberError, read_decimal
from chestnutshift.forwarding.acceptance import Accepted
from chestnutshift.forwarding.claims import ClaimTracker
from chestnutshift.forwarding.crossing import (
    Crossing,
    RequestLine,
    crossing_headers,
)
from chestnutshift.forwarding.exceptions import (
    AttemptNotRunError,
    SlotExpiredError,
    UpstreamRefusedError,
    VmRefusedError,
)
from chestnutshift.forwarding.execution import RequestExecution, Target
from chestnutshift.forwarding.pacing import paced_by
from chestnutshift.forwarding.peer_connections import PeerConnections
from chestnutshift.forwarding.problems import RAN_HEADER
from chestnutshift.forwarding.requests import RequestBody
from chestnutshift.regions.caps import LinkCap
from chestnutshift.regions.model import Place
from chestnutshift.upstreams.connection import UpstreamAnswer
from chestnutshift.upstreams.dispatch import HeldSlot
from chestnutshift.upstreams.health import LeavingNotice, NoticeSource
from chestnutshift.vms.local_upstreams import LocalUpstreams
from chestnutshift.vms.steering import RegionSteering

CROSSING_NONCE_B = 12
SHED_RETRY_AFTER_S = 1.0
RETRY_AFTER_MAX_S = 86_400.0
LEAVING_HEADER = b'chestnutshift-leaving'


@attrs.define
class Job:
    """An accepted request being run, with the targets tried so far.

    tried holds the names of upstreams and VMs.
    """

    accepted: Accepted
    execution: RequestExecution
    body: RequestBody
    claim_tracker: ClaimTracker
    tried: frozenset[str] = frozenset()
    retries: int = 0

    @property
    def service(self) -> str:
        """The name of the service."""
        return self.accepted.service.name

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent again."""
        return self.body.buffered is not None or not self.body.is_streaming


@attrs.frozen
class TargetFactory:
    """Makes the target that a job is sent to."""

    _local_upstreams: LocalUpstreams
    _steering: RegionSteering
    _peers: PeerConnections
    _secret: bytes

    def upstream(self, job: Job, slot: HeldSlot) -> Target:
        """Return the target for the upstream whose slot the request holds.

        Raises AttemptNotRunError if it is no longer listed.
        """
        upstream = self._local_upstreams.directory.get(slot.upstream)
        if upstream is None:
            raise AttemptNotRunError(f'{slot.upstream} is no longer listed')
        health = self._local_upstreams.health

        def before_send() -> None:
            now = trio.current_time()
            if not slot.lease.may_start(now):
                raise SlotExpiredError(f'the slot on {slot.upstream} expired')
            health.verify_sendable(slot.upstream, now)
            job.claim_tracker.before_send()

        def on_answer(answer: UpstreamAnswer) -> None:
            headers = _lower_case_headers(answer)
            if LEAVING_HEADER in headers:
                notice = LeavingNotice(slot.upstream, NoticeSource.ANSWER)
                now = trio.current_time()
                self._local_upstreams.pool.log_transitions(
                    [health.record_leaving(notice, now)]
                )
            if headers.get(RAN_HEADER) == b'no':
                raise UpstreamRefusedError(
                    f'{slot.upstream} shed the request',
                    _retry_after_s(headers),
                )
            job.claim_tracker.start_answer(answer)

        return Target(
            name=slot.upstream,
            host=upstream.host,
            connections=upstream.connections,
            before_send=before_send,
            on_answer=on_answer,
            on_chunk=job.claim_tracker.add_chunk,
            on_complete=job.claim_tracker.finish,
            pace_answer=paced_by(self._answer_cap(job)),
        )

    def vm(self, job: Job, place: Place) -> Target:
        """Return the target for a VM of another failure domain."""
        peer = self._peers.get(place.vm)
        here = self._local_upstreams.place
        crossing = Crossing(
            sender=here.vm,
            region=here.region,
            nonce=secrets.token_hex(CROSSING_NONCE_B),
            account=job.accepted.account,
        )

        def on_answer(answer: UpstreamAnswer) -> None:
            ran = _lower_case_headers(answer).get(RAN_HEADER)
            if ran == b'no':
                raise VmRefusedError(f'{place.vm} refused the request')
            job.claim_tracker.start_answer(answer)

        return Target(
            name=place.vm,
            host=peer.host,
            connections=peer.connections,
            extra_headers=crossing_headers(
                crossing,
                RequestLine(
                    job.accepted.request.request_id,
                    job.accepted.request.method,
                    job.accepted.redacted.target,
                ),
                self._secret,
                peer.incarnation,
            ),
            before_send=job.claim_tracker.before_send,
            on_answer=on_answer,
            on_chunk=job.claim_tracker.add_chunk,
            on_complete=job.claim_tracker.finish,
            pace_body=paced_by(self._steering.cap(place.region)),
        )

    def _answer_cap(self, job: Job) -> LinkCap | None:
        crossing = job.accepted.crossing
        return self._steering.cap(crossing.region) if crossing else None


def _lower_case_headers(answer: UpstreamAnswer) -> dict[bytes, bytes]:
    return {name.lower(): text for name, text in answer.headers}


def _retry_after_s(headers: dict[bytes, bytes]) -> float:
    text = headers.get(b'retry-after', b'').decode('latin-1')
    try:
        return read_decimal(text, RETRY_AFTER_MAX_S)
    except UnreadableNumberError:
        return SHED_RETRY_AFTER_S
