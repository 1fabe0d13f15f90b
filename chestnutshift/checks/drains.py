"""Checks of a drain; each yields key, problem and what is allowed."""

from collections.abc import Iterator

from chestnutshift.checks.plans import DrainPlan
from chestnutshift.checks.registry import DRAINS, Finding


@DRAINS.register('D001')
def target_exists(plan: DrainPlan) -> Iterator[Finding]:
    """A drain names a VM, upstream, failure domain or region that exists."""
    if plan.target not in plan.targets:
        known = ', '.join(sorted(plan.targets))
        yield 'drains', f'nothing is named {plan.target!r}', f'allowed: {known}'


@DRAINS.register('D002')
def live_vm_stays(plan: DrainPlan) -> Iterator[Finding]:
    """A drain leaves at least one live VM that callers can use."""
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
def upstream_stays(plan: DrainPlan) -> Iterator[Finding]:
    """A drain leaves every service an upstream."""
    concerned = plan.topology.upstreams_of(plan.target)
    drained = plan.drained_upstreams
    for service in sorted({plan.services[name] for name in concerned}):
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
