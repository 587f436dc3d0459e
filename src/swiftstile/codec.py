"""MessagePack encoding of messages and JSON encoding of documents."""

import typing

import msgspec

from swiftstile import errors

__all__ = ["MessageCodec", "from_json", "to_json"]

T = typing.TypeVar("T")


class MessageCodec(typing.Generic[T]):
    """Encodes one union of tagged structs as MessagePack.

    Attributes:
        max_bytes: Longer messages are rejected before decoding.
    """

    def __init__(self, kind: typing.Any, max_bytes: int = 4 << 20):
        self.max_bytes = max_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(kind)

    def encode(self, message: T) -> bytes:
        """Encodes a message."""
        return self._encoder.encode(message)

    def decode(self, data: bytes, peer: str = "") -> T:
        """Decodes a message.

        Args:
            data: The encoded message.
            peer: The sender, for error messages.

        Raises:
            ControlMessageError: The data is too long, malformed or of an
                unknown type.
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
    """Encodes a document as JSON, for the platform's store."""
    return msgspec.json.encode(document)


def from_json(data: bytes, kind: type[T], peer: str = "") -> T:
    """Decodes a JSON document.

    Raises:
        ControlMessageError: The document is malformed.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.ControlMessageError(
            str(error), step="decode document", peer=peer
        ) from error
