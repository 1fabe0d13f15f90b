"""Ways to reach a platform; importing the package fills BACKENDS."""

from chestnutshift.platform.backends import http, memory
from chestnutshift.platform.backends.base import BACKENDS, Platform

__all__ = ('BACKENDS', 'Platform', 'http', 'memory')
