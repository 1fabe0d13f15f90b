"""The VMs of a failure domain share an upstream's connection limit."""

from chestnutshift.conf import defaults
from chestnutshift.storage.records import VmRecord, VmRole
from chestnutshift.upstreams.directory import UpstreamDirectory

VMS = 2


def test_connections_are_divided():
    """All VMs together open no more connections than the upstream takes."""
    directory = UpstreamDirectory(VMS)
    directory.update(
        [VmRecord('u', VmRole.UPSTREAM, 'd', 'r', '127.0.0.1:1', slots=9)],
    )
    limit = directory.get('u').connections.maximum
    assert limit * VMS <= defaults.CONNECTIONS_MAX
