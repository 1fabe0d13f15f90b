"""Checks of a drain; each yields key, problem and what is allowed."""

from collections.abc import Iterator

from chestnutshift.checks.plans import DrainPlan
from chestnutshift.checks.registry import DRAINS, Finding


@DRAINS.register('D001')
def target_exists(plan: DrainPlan) -> Iterator[Finding]:
    """The target is an existing VM, upstream, failure domain or region."""
    if plan.target not in plan.targets:
        known = ', '.join(sorted(plan.targets))
        yield 'drains', f'nothing is named {plan.target!r}', f'allowed: {known}'


@DRAINS.register('D002')
def live_vm_remains(plan: DrainPlan) -> Iterator[Finding]:
    """A drain leaves callers at least one live VM."""
    if not plan.topology.vms_of(plan.target):
        return
    if plan.live_vms - plan.drained_vms:
        return
    yield (
        'drains',
        f'{plan.target!r} would leave no live VM',
        'allowed: end another drain first',
    )


@DRAINS.register('D003')
def upstream_remains(plan: DrainPlan) -> Iterator[Finding]:
    """A drain leaves every service at least one upstream."""
    affected = plan.topology.upstreams_of(plan.target)
    drained = plan.drained_upstreams
    for service in sorted({plan.services[name] for name in affected}):
        names = {
            name
            for name, offered in plan.services.items()
            if offered == service
        }
        if names <= drained:
            yield (
                'drains',
                f'{plan.target!r} would leave {service} no upstream',
                'allowed: end another drain first',
            )
