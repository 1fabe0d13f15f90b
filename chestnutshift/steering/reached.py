"""How many of a service's upstreams answer this VM."""

from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Condition

_IN_SERVICE = frozenset((Condition.READY, Condition.UNPROVEN))


def reached_ratio(directory: UpstreamDirectory, service: str) -> float:
    """Return the fraction of a service's upstreams that answer this VM.

    Those that leave or are evacuated don't count; 1 if there is none.
    """
    answering = [
        upstream.condition is Condition.READY
        for upstream in directory.of_service(service)
        if upstream.condition in _IN_SERVICE
        and upstream.registration.failure_domain not in directory.evacuated
    ]
    return sum(answering) / len(answering) if answering else 1
