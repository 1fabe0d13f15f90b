"""What stands behind an edge VM, whatever it runs on."""

from collections.abc import Callable

import attrs

from chestnutshift.edge.dialect import Dialect
from chestnutshift.edge.settings import EdgeSettings
from chestnutshift.edge.store_tables import Source
from chestnutshift.edge.vm_registration import Registrar


@attrs.frozen
class Backing:
    """What keeps the fleet's state, and how it is spoken to."""

    dialect: Dialect
    operators: Source
    upstreams: Source
    members: Source
    registrar: Registrar
    read_settings: Callable[[], EdgeSettings]
