"""Ways to reach a platform; importing the package fills BACKENDS."""

from chestnutshift.storage.backends import http, memory
from chestnutshift.storage.backends.base import BACKENDS, Platform

__all__ = ('BACKENDS', 'Platform', 'http', 'memory')
