"""The body of a caller's request, held once until its call has ended."""

from collections.abc import Sequence

__all__ = ["RequestBody"]

_BLOCK_BYTES = 64 * 1024
# Pieces that are shorter are joined, since each costs more than its bytes.
_WHOLE_PIECE_BYTES = 16 * 1024


class RequestBody:
    """Collects a body in blocks, and lets go of it on request.

    Attempts share the blocks. Nothing joins them, so that a body costs its own
    size once, however often it is sent.

    Attributes:
      size: how many bytes have been added.
    """

    __slots__ = ("_blocks", "_tail", "size")

    def __init__(self, data: bytes = b""):
        self.size = 0
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        if data:
            self.append(data)

    def append(self, data: bytes) -> None:
        """Adds a piece."""
        self.size += len(data)
        if not self._tail and len(data) >= _WHOLE_PIECE_BYTES:
            self._blocks.append(data)
            return
        self._tail += data
        if len(self._tail) >= _BLOCK_BYTES:
            self._close_block()

    def blocks(self) -> Sequence[bytes]:
        """Returns the body's blocks, in order."""
        if self._tail:
            self._close_block()
        return tuple(self._blocks)

    def join(self) -> bytes:
        """Returns a copy of the whole body."""
        return b"".join(self.blocks())

    def release(self) -> None:
        """Lets go of all bytes; the size stays as it was."""
        self._blocks.clear()
        self._tail = bytearray()

    def _close_block(self) -> None:
        self._blocks.append(bytes(self._tail))
        self._tail = bytearray()
