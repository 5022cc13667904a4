"""Decodes chunked bodies and keeps nothing of their trailers."""

from collections.abc import Callable

from twisted.web.http import _ChunkedTransferDecoder

__all__ = ["ChunkDecoder"]


class ChunkDecoder(_ChunkedTransferDecoder):
    """The parser's decoder, without the trailer lines that it collects.

    Nothing reads them, and each costs more than its bytes.

    Args:
      on_data: receives the pieces of the body.
      on_end: receives what came behind the body.
      trailer_bytes: the most that all trailer lines may take.
    """

    def __init__(
        self,
        on_data: Callable[[bytes], None],
        on_end: Callable[[bytes], None],
        trailer_bytes: int,
    ):
        super().__init__(on_data, on_end)
        self._maxTrailerHeadersSize = trailer_bytes

    def _dataReceived_TRAILER(self) -> bool:
        continues = super()._dataReceived_TRAILER()
        self._trailerHeaders.clear()
        return continues
