"""Frames between VMs: a length, then a Thrift struct in compact protocol."""

import struct
from typing import Protocol

from thrift import TSerialization
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException

from chestnutshift.exceptions import CodedError
from chestnutshift.wire.generated.links import ttypes

FRAME_LIMIT_B = 4_194_304
_LENGTH_PREFIX = struct.Struct('>I')
_DECODE_ERRORS = (TException, EOFError, ValueError, OverflowError)
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()


class FrameError(CodedError):
    """A frame is broken, too long, or the other side closed within one."""

    code = 'wire.frame'


class ByteStream(Protocol):
    """The part of a trio stream that frames need."""

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return some bytes, none at the end."""


def encode(frame: ttypes.Frame) -> bytes:
    """Return the bytes of one frame with its length in front."""
    body = TSerialization.serialize(frame, _PROTOCOL_FACTORY)
    return _LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> ttypes.Frame:
    """Return the frame in body; raise FrameError if it is not one."""
    try:
        return TSerialization.deserialize(
            ttypes.Frame(), body, _PROTOCOL_FACTORY
        )
    except _DECODE_ERRORS as error:
        raise FrameError(f'not a frame: {error!r}') from error


class FrameReader:
    """Cut a byte stream into frames."""

    def __init__(self, stream: ByteStream) -> None:
        """Read from the stream, which stays the caller's to close."""
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> ttypes.Frame:
        """Return the next frame; raise FrameError at the end or if broken."""
        header = await self._read_exactly(_LENGTH_PREFIX.size)
        length = _LENGTH_PREFIX.unpack(header)[0]
        if length > FRAME_LIMIT_B:
            raise FrameError(f'a frame of {length} B is over {FRAME_LIMIT_B} B')
        return decode(await self._read_exactly(length))

    async def _read_exactly(self, count: int) -> bytes:
        while len(self._buffer) < count:
            chunk = await self._stream.receive_some(65536)
            if not chunk:
                raise FrameError('the connection was closed')
            self._buffer += chunk
        taken = bytes(self._buffer[:count])
        del self._buffer[:count]
        return taken
