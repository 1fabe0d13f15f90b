"""Changes that operators can make to a configuration.

Each returns a new configuration with the next number.
"""

import attrs

from chestnutshift.configuration.codec import to_document
from chestnutshift.configuration.exceptions import UnknownNameError
from chestnutshift.configuration.model import Configuration, KeyRecord, Preset


def _evolve(configuration: Configuration, **fields: object) -> Configuration:
    """Return a copy with the given fields and the next number."""
    number = configuration.number + 1
    return attrs.evolve(configuration, number=number, **fields)


def choose_preset(configuration: Configuration, name: str) -> Configuration:
    """Put the named preset in force; raise UnknownNameError."""
    if name not in configuration.presets:
        known = ', '.join(sorted(configuration.presets))
        raise UnknownNameError(
            f'unknown preset {name!r}; known presets: {known}'
        )
    return _evolve(configuration, in_force=name)


def edit_preset(
    configuration: Configuration,
    name: str,
    preset: Preset,
) -> Configuration:
    """Replace or add the named preset."""
    presets = {**configuration.presets, name: preset}
    return _evolve(configuration, presets=presets)


def give_key(
    configuration: Configuration,
    digest: str,
    account: str,
    label: str,
) -> Configuration:
    """Add a key, known by its digest, to a client account.

    Raises UnknownNameError for an unknown account or an existing key.
    """
    if account not in configuration.preset.accounts:
        raise UnknownNameError(f'unknown client account {account!r}')
    if digest in configuration.keys:
        raise UnknownNameError('this key already exists')
    record = KeyRecord(account=account, label=label)
    return _evolve(configuration, keys={**configuration.keys, digest: record})


def withdraw_key(configuration: Configuration, digest: str) -> Configuration:
    """Withdraw a key permanently; raise UnknownNameError."""
    record = configuration.keys.get(digest)
    if record is None:
        raise UnknownNameError(f'no key with digest {digest!r}')
    withdrawn = attrs.evolve(record, withdrawn=True)
    keys = {**configuration.keys, digest: withdrawn}
    return _evolve(configuration, keys=keys)


def find_digest(configuration: Configuration, reference: str) -> str:
    """Return the digest of the key that reference identifies.

    reference is a digest, the label of a key that is not withdrawn, or else
    the start of a digest. Raises UnknownNameError unless exactly one key
    matches.
    """
    matches = [
        digest
        for digest, record in configuration.keys.items()
        if reference == digest
        or (reference == record.label and not record.withdrawn)
    ]
    if not matches and reference:
        matches = [
            digest
            for digest in configuration.keys
            if digest.startswith(reference)
        ]
    if len(matches) != 1:
        raise UnknownNameError(f'{len(matches)} keys match {reference!r}')
    return matches[0]


def start_drain(configuration: Configuration, target: str) -> Configuration:
    """Start a drain: the target takes no new work."""
    return _evolve(configuration, drains=configuration.drains | {target})


def end_drain(configuration: Configuration, target: str) -> Configuration:
    """End the drain of the target; raise UnknownNameError."""
    if target not in configuration.drains:
        raise UnknownNameError(f'{target!r} is not being drained')
    return _evolve(configuration, drains=configuration.drains - {target})


def describe(before: Configuration, after: Configuration) -> tuple[str, ...]:
    """Return one line for each value that differs, sorted by path."""
    old = _flatten(to_document(before), '')
    new = _flatten(to_document(after), '')
    old.pop('number', None)
    new.pop('number', None)
    return tuple(
        f'{path}: {old.get(path, "(none)")} -> {new.get(path, "(none)")}'
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def _flatten(document: object, path: str) -> dict[str, object]:
    if not isinstance(document, dict):
        return {path: document}
    flat: dict[str, object] = {}
    for key, nested in document.items():
        nested_path = f'{path}.{key}' if path else str(key)
        flat.update(_flatten(nested, nested_path))
    return flat
