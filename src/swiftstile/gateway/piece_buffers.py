"""Collects the pieces of a body without copying the large ones."""

__all__ = ["PieceBuffer"]

# Smaller pieces are merged: each object takes memory besides its bytes.
_MIN_PIECE_BYTES = 4096


class PieceBuffer:
    """Bytes of a body in the order in which they arrived.

    A buffer that grows with each piece would be copied by each step and leave
    unused memory behind.
    """

    __slots__ = ("_pieces", "_size", "_small")

    def __init__(self):
        self._pieces: list[bytes] = []
        # What arrived last, as long as it is too little for a piece.
        self._small = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, piece: bytes) -> None:
        """Adds bytes at the end."""
        self._size += len(piece)
        if len(piece) >= _MIN_PIECE_BYTES:
            self._seal_small()
            self._pieces.append(piece)
            return
        self._small += piece
        if len(self._small) >= _MIN_PIECE_BYTES:
            self._seal_small()

    def _seal_small(self) -> None:
        if self._small:
            self._pieces.append(bytes(self._small))
            self._small.clear()

    def take(self) -> bytes:
        """Returns all bytes, and forgets them."""
        self._seal_small()
        if len(self._pieces) == 1:
            data = self._pieces[0]
        else:
            data = b"".join(self._pieces)
        self.clear()
        return data

    def clear(self) -> None:
        """Forgets all bytes."""
        self._pieces.clear()
        self._small.clear()
        self._size = 0
