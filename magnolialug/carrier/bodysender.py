"""Sends the body of a request as fast as its endpoint reads."""

from collections.abc import Callable, Sequence

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

__all__ = ["BodySender"]


@implementer(IPullProducer)
class BodySender:
    """Writes the next block whenever the transport's buffer is empty.

    Args:
      on_block: called for each block that is written.
      on_sent: called when the last block has been written.
    """

    def __init__(
        self,
        transport,
        blocks: Sequence[bytes],
        on_block: Callable[[], None],
        on_sent: Callable[[], None],
    ):
        self._transport = transport
        self._blocks = iter(blocks)
        self._on_block = on_block
        self._on_sent = on_sent

    def start(self) -> None:
        """Begins to write."""
        self._transport.registerProducer(self, False)

    def stop(self) -> None:
        """Writes no more; called for a body that is not wanted any longer."""
        self._blocks = iter(())
        self._transport.unregisterProducer()

    def resumeProducing(self) -> None:
        """Writes one block."""
        block = next(self._blocks, None)
        if block is not None:
            self._transport.write(block)
            self._on_block()
            return
        self._transport.unregisterProducer()
        self._on_sent()

    def stopProducing(self) -> None:
        """Lets go of the body; the connection is closed."""
        self._blocks = iter(())
