"""The state, messages and costs of each role of a node at the target."""

import attrs

from bench.capacity import node_parts, targets
from bench.capacity.estimates import (
    PARTS,
    Budget,
    MissingSlopeError,
    Results,
)


@attrs.frozen
class Role:
    """A role with its state and the names of its parts.

    messages counts frames or requests per second at one node. carried_by names
    the design and the modules that implement the role.
    """

    name: str
    state: str
    messages: float
    messages_of: str
    parts: tuple[str, ...]
    carried_by: str

    def amount(self, budget: Budget, results: Results) -> float | None:
        """Return the sum of the role's parts, None if one is missing."""
        amounts = [
            part.amount(results)
            for part in PARTS
            if part.budget is budget and part.name in self.parts
        ]
        if None in amounts:
            return None
        return sum(amounts)


def service_share(results: Results) -> float | None:
    """Return the core share of answering look-ups over HTTP."""
    try:
        return results.per_unit('http_answer') * targets.LOOKUPS_PER_NODE_S
    except MissingSlopeError:
        return None


ROLES = (
    Role(
        'look-up',
        '2.3 million blocks, 7,000 VMs, counts of cached answers',
        targets.LOOKUPS_PER_NODE_S,
        'answers',
        (
            'table of client blocks',
            'entry VMs',
            'counts of cached answers',
            "tables of restarts, a day's mean",
            'blocks changed in the table',
            'ranks after VMs came and went',
        ),
        'whole table in each VM, numbered deltas, ranks kept: `lookup`',
    ),
    Role(
        'forwarding',
        "the failure domain's upstreams; requests in flight",
        0,
        'no control messages',
        (),
        'an upstream belongs to 16 VMs of its domain: `upstreams`, `regions`',
    ),
    Role(
        'distribution of configuration',
        'one configuration, the newest number of each neighbour',
        node_parts.COPIES * node_parts.CHANGES_PER_S,
        'changes',
        (
            'configuration',
            'changes of configuration and blocks',
            'changes passed on',
            'changes put in force',
        ),
        'four relays a domain poll, trees pass on changes: `configuration`, '
        '`links`',
    ),
    Role(
        'share keeping',
        'shares of 10,000 accounts, loans of those with demand',
        0,
        'none of its own: part of heartbeats',
        (
            'shares of accounts',
            'loans of shares',
            'plans and renewals of shares',
        ),
        'one lease a domain, divided down its tree by loans: `accounts`',
    ),
    Role(
        'membership',
        'the neighbours of the tree, summaries of 41 domains',
        2 * node_parts.exchanges_per_s(),
        'heartbeats',
        (
            'heartbeats on tree links',
            'VMs that come and go',
            'summaries of the failure domains',
        ),
        'two parents and four children, summaries: `vms`, `links`',
    ),
    Role(
        'every role',
        'the program, the newest 20,000 events',
        0,
        'none',
        (
            'process with all modules',
            'kept events',
            'numbered events of control',
        ),
        '`events`',
    ),
)
