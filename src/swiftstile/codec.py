"""Encoding of typed messages and documents. MessagePack and JSON."""

import typing

import msgspec

from swiftstile import errors

__all__ = ["MessageCodec", "from_json", "to_json"]

T = typing.TypeVar("T")


class MessageCodec(typing.Generic[T]):
    """Encodes one union of tagged structs as MessagePack.

    Attributes:
        max_bytes: Longer messages are refused before they are decoded.
    """

    def __init__(self, kind: typing.Any, max_bytes: int = 4 << 20):
        self.max_bytes = max_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(kind)

    def encode(self, message: T) -> bytes:
        """Returns the bytes of a message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, peer: str = "") -> T:
        """Returns the message in `data`.

        Raises:
            ControlMessageError: The bytes are not one of the known messages.
        """
        if len(data) > self.max_bytes:
            raise errors.ControlMessageError(
                f"{len(data)} bytes, at most {self.max_bytes} allowed",
                step="decode message",
                peer=peer,
            )
        try:
            return self._decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise errors.ControlMessageError(
                str(error), step="decode message", peer=peer
            ) from error


def to_json(document: msgspec.Struct) -> bytes:
    """Returns a document as JSON, for the platform's store."""
    return msgspec.json.encode(document)


def from_json(data: bytes, kind: type[T], peer: str = "") -> T:
    """Returns the document in `data`.

    Raises:
        ControlMessageError: The document is malformed.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.ControlMessageError(
            str(error), step="decode document", peer=peer
        ) from error
