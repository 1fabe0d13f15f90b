"""Thrift messages of any type, filled with typical values."""

from collections.abc import Callable

from thrift.Thrift import TType

from chestnutshift.registry import Registry

TEXT = 'account-1000'
FRACTION = 0.5
SMALL = 100
LARGE = 1_000_000

Filler = Callable[[object, int], object]
FILLERS: Registry[Filler] = Registry('filler')


def fill(message: type, entries: int):
    """Return a message with every field set.

    Lists of structs get this many entries; other containers get none.
    """
    filled = message()
    for field in message.thrift_spec:
        if field is not None:
            _, kind, name, detail, _ = field
            setattr(filled, name, _content(kind, detail, entries))
    return filled


def _content(kind: int, detail: object, entries: int) -> object:
    return FILLERS.get(str(kind))(detail, entries)


@FILLERS.register(str(TType.STRING))
def _string(detail: object, _entries: int) -> object:
    return TEXT if detail == 'UTF8' else TEXT.encode()


@FILLERS.register(str(TType.DOUBLE))
def _double(_detail: object, _entries: int) -> object:
    return FRACTION


@FILLERS.register(str(TType.BOOL))
def _bool(_detail: object, _entries: int) -> object:
    return True


@FILLERS.register(str(TType.I32))
def _small(_detail: object, _entries: int) -> object:
    return SMALL


@FILLERS.register(str(TType.I64))
def _large(_detail: object, _entries: int) -> object:
    return LARGE


@FILLERS.register(str(TType.STRUCT))
def _struct(detail: object, entries: int) -> object:
    return fill(detail[0], entries)


@FILLERS.register(str(TType.LIST))
def _list(detail: object, entries: int) -> object:
    kind, inner, _ = detail
    if kind != TType.STRUCT:
        return []
    return [_content(kind, inner, entries) for _ in range(entries)]


@FILLERS.register(str(TType.MAP))
def _map(_detail: object, _entries: int) -> object:
    return {}


@FILLERS.register(str(TType.SET))
def _set(_detail: object, _entries: int) -> object:
    return set()
