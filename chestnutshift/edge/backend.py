"""The platform integration that an edge VM runs on."""

from collections.abc import Callable

import attrs

from chestnutshift.edge.dialect import Dialect
from chestnutshift.edge.settings import EdgeSettings
from chestnutshift.edge.store_tables import Source
from chestnutshift.edge.vm_registration import Registrar


@attrs.frozen
class Backend:
    """The implementations that connect an edge VM to its platform.

    operators, upstreams and members are the tables of the store;
    read_settings loads the settings file anew and raises CodedError or
    OSError.
    """

    dialect: Dialect
    operators: Source
    upstreams: Source
    members: Source
    registrar: Registrar
    read_settings: Callable[[], EdgeSettings]
