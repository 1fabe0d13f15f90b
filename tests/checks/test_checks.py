"""Tests of the checks of configurations and drains."""

import attrs
from nose2.tools import params

from chestnutshift.checks import configurations, drains  # noqa: F401
from chestnutshift.checks.plans import DrainPlan
from chestnutshift.checks.registry import check_configuration, check_drains
from chestnutshift.configuration.model import (
    AccountLimit,
    Configuration,
    LookupPreset,
    Preset,
    RetriesPreset,
    Service,
    ShiftPreset,
    UpstreamsPreset,
)
from chestnutshift.regions.drains import Topology
from chestnutshift.regions.model import Place

NAN = float('nan')
VMS = {
    'a1': Place('a1', 'east-a', 'east'),
    'b1': Place('b1', 'west-a', 'west'),
}
UPSTREAMS = {'u1': 'east-a', 'u2': 'west-a', 'v1': 'east-a'}
SERVICES = {'u1': 'listings', 'u2': 'listings', 'v1': 'reports'}


def problems(**fields):
    """Return the check and key of each problem of a preset."""
    limits = {'acme': AccountLimit(1.0, 1.0)}
    preset = attrs.evolve(Preset(limits), **fields)
    configuration = Configuration(
        number=1,
        deployment='test',
        services=(Service('listings', '/listings'),),
        presets={'day': preset},
        in_force='day',
    )
    messages = check_configuration(configuration)
    assert all(message.allowed.startswith('allowed: ') for message in messages)
    return [(message.check, message.key) for message in messages]


def failed_checks(target, *others, live=('a1', 'b1'), services=SERVICES):
    """Return the ids of the checks that the drain fails."""
    topology = Topology(VMS, {name: UPSTREAMS[name] for name in services})
    names = frozenset((target, *others))
    messages = check_drains(
        DrainPlan(target, names, topology, frozenset(live), services),
    )
    return [message.check for message in messages]


def test_defaults_pass():
    """The defaults pass every check."""
    assert not problems()


@params(
    ({'accounts': {'acme': AccountLimit(NAN, 1.0)}}, 'accounts.acme.rate'),
    ({'accounts': {'acme': AccountLimit(1.0, NAN)}}, 'accounts.acme.burst'),
    ({'accounts': {'acme': AccountLimit(-1.0, 1.0)}}, 'accounts.acme.rate'),
    ({'deadline_s': NAN}, 'deadline_s'),
    ({'lookup': LookupPreset(10.0, 0.1)}, 'lookup.moving_lifetime_s'),
    ({'retries': RetriesPreset(0.1, -1.0)}, 'retries.reserve'),
    ({'shift': ShiftPreset(requests_per_s=NAN)}, 'shift.requests_per_s'),
    ({'shift': ShiftPreset(bytes_per_s=-1.0)}, 'shift.bytes_per_s'),
    (
        {'upstreams': UpstreamsPreset(connection_pace_s=-1.0)},
        'upstreams.connection_pace_s',
    ),
    ({'upstreams': UpstreamsPreset(policy='best')}, 'upstreams.policy'),
)
def test_values_out_of_range(fields, key):
    """A value out of range is reported once, under its key."""
    assert [reported_key for _check, reported_key in problems(**fields)] == [
        f'presets.day.{key}',
    ]


def test_unknown_drain_target():
    """A target that does not exist is refused."""
    assert failed_checks('nothing') == ['D001']


def test_drain_leaves_vm_and_upstream():
    """A drain must leave a live VM, and an upstream of each service."""
    only_listings = {'u1': 'listings', 'u2': 'listings'}
    assert not failed_checks('east', services=only_listings)
    assert failed_checks('east', live=('a1',), services=only_listings) == [
        'D002'
    ]
    assert failed_checks('b1', 'a1') == ['D002']
    assert failed_checks('u2', 'u1') == ['D003']
    assert failed_checks('east') == ['D003']
    assert not failed_checks('u1')
