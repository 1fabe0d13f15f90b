"""JSON encoding of configurations, for peers and the platform's table."""

import json

from chestnutshift.conf.loader import CONVERTER, structure
from chestnutshift.configuration.model import Configuration


def to_document(configuration: Configuration) -> dict[str, object]:
    """Convert the configuration to a value that can be encoded as JSON."""
    document = CONVERTER.unstructure(configuration)
    document['drains'] = sorted(document['drains'])
    return document


def from_document(document: object) -> Configuration:
    """Convert a decoded JSON value to a configuration; raise SettingsError."""
    return structure(document, Configuration, 'configuration')


def to_bytes(configuration: Configuration) -> bytes:
    """Encode the configuration as compact JSON."""
    document = to_document(configuration)
    return json.dumps(document, separators=(',', ':')).encode()


def from_bytes(body: bytes) -> Configuration:
    """Decode a configuration; raise SettingsError or ValueError."""
    return from_document(json.loads(body))
