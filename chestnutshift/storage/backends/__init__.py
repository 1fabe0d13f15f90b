"""Backends of the platform client; importing this registers them all."""

from chestnutshift.storage.backends import http, memory
from chestnutshift.storage.backends.base import BACKENDS, Platform

__all__ = ('BACKENDS', 'Platform', 'http', 'memory')
