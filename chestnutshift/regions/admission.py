"""The rules by which a VM takes work of other failure domains.

The VM that owns the slots applies them to its own knowledge, and the sender
to what it knows of that VM, so that little is sent in vain.
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
    """Tell whether a foreign request may start at once.

    Work of the same region leaves FREE_SLOTS to local work, work of other
    regions all slots above the ceiling.
    """
    if same_region:
        return in_use < slots - RESERVED_SLOTS
    return in_use + 1 <= slots * ceiling


def may_wait(slots: int, waiting: int) -> bool:
    """Tell whether a request of the same region may wait here.

    The domains of a region share the short part of their queues, so that
    one does not refuse while the other is about to have free slots.
    """
    return waiting < slots * QUEUE_FRACTION
