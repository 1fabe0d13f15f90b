"""Frames on links: a length, then a Thrift struct in compact protocol."""

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
    """A frame is malformed or too long, or the connection was closed."""

    code = 'wire.frame'


class ByteStream(Protocol):
    """The interface of a trio stream that a reader of frames uses."""

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return up to max_bytes, empty at the end of the stream."""


def encode(frame: ttypes.Frame) -> bytes:
    """Return the bytes of one frame with its length prefix."""
    body = TSerialization.serialize(frame, _PROTOCOL_FACTORY)
    return _LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> ttypes.Frame:
    """Return the frame in body; raise FrameError if it is malformed."""
    try:
        return TSerialization.deserialize(
            ttypes.Frame(), body, _PROTOCOL_FACTORY
        )
    except _DECODE_ERRORS as error:
        raise FrameError(f'decoding failed: {error!r}') from error


class FrameReader:
    """Reads frames from a byte stream."""

    def __init__(self, stream: ByteStream) -> None:
        """Create a reader of the stream, which the caller closes."""
        self._stream = stream
        self._buffer = bytearray()

    async def read(self) -> ttypes.Frame:
        """Return the next frame.

        Raises FrameError at the end of the stream and for a malformed frame.
        """
        header = await self._read_exactly(_LENGTH_PREFIX.size)
        length = _LENGTH_PREFIX.unpack(header)[0]
        if length > FRAME_LIMIT_B:
            raise FrameError(
                f'a frame of {length} B is over the limit, {FRAME_LIMIT_B} B'
            )
        return decode(await self._read_exactly(length))

    async def _read_exactly(self, count: int) -> bytes:
        while len(self._buffer) < count:
            chunk = await self._stream.receive_some(65536)
            if not chunk:
                raise FrameError('the connection was closed')
            self._buffer += chunk
        content = bytes(self._buffer[:count])
        del self._buffer[:count]
        return content
