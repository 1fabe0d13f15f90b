"""Configurations as JSON, on the wire and in the platform's table."""

import json

from chestnutshift.conf.loader import CONVERTER, structure
from chestnutshift.configuration.model import Configuration


def to_document(configuration: Configuration) -> dict[str, object]:
    """Return the configuration as a value that JSON can hold."""
    document = CONVERTER.unstructure(configuration)
    document['drains'] = sorted(document['drains'])
    return document


def from_document(document: object) -> Configuration:
    """Return the configuration; raise SettingsError naming each problem."""
    return structure(document, Configuration, 'configuration')


def to_bytes(configuration: Configuration) -> bytes:
    """Return the configuration as compact JSON."""
    document = to_document(configuration)
    return json.dumps(document, separators=(',', ':')).encode()


def from_bytes(body: bytes) -> Configuration:
    """Return the configuration; raise SettingsError or ValueError."""
    return from_document(json.loads(body))
