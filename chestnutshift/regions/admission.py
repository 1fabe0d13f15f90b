"""Rules by which a VM accepts requests from other failure domains.

The VM that owns the slots applies the rules to its actual state. The sender
first applies them to that VM's last report, so that few requests are refused.
"""

RESERVED_SLOTS = 1
QUEUE_FRACTION = 0.5


def may_start(
    slots: int,
    in_use: int,
    ceiling: float,
    *,
    same_region: bool,
) -> bool:
    """Return whether a request of another failure domain may start at once.

    Requests of the same region leave RESERVED_SLOTS to local requests, those
    of other regions leave all slots above the ceiling.
    """
    if same_region:
        return in_use < slots - RESERVED_SLOTS
    return in_use + 1 <= slots * ceiling


def may_wait(slots: int, waiting: int) -> bool:
    """Return whether a request of the same region may queue here.

    The failure domains of a region share the first part of their queues, so
    that one does not refuse while another is about to have free slots.
    """
    return waiting < slots * QUEUE_FRACTION
