"""Checks of a gateway while many callers do not behave."""

import time
from collections.abc import Callable, Iterator

from testtools import TestCase

from tests.crowd import Crowd
from tests.gatewayprocess import FILE_DESCRIPTORS, GatewayProcess, Limits

__all__ = ["CrowdTest", "chunked", "in_pieces"]

# How long a crowd stays before the checks, which are made beside it.
_CROWD_S = 6.0
_LOOK_S = 0.2
PIECE_BYTES = 65536


def in_pieces(data: bytes, size: int = PIECE_BYTES) -> Iterator[bytes]:
    """Returns bytes piece by piece."""
    return (data[at : at + size] for at in range(0, len(data), size))


def chunked(request: bytes) -> bytes:
    """Returns the head of a request without a body, for one in chunks."""
    return request.replace(
        b"Content-Length: 0\r\n", b"Transfer-Encoding: chunked\r\n"
    )


class CrowdTest(TestCase):
    """Starts a gateway, and checks what holds beside any crowd."""

    def start(self, limits: Limits | None = None, **options) -> GatewayProcess:
        """Starts a gateway with its platform."""
        gateway = GatewayProcess(limits or Limits(), **options)
        self.gateway = self.useFixture(gateway)
        return gateway

    def crowd(
        self,
        count: int,
        pieces: Callable[[int], Iterator[bytes]],
        address: tuple[str, int] | None = None,
        **options,
    ) -> Crowd:
        """Lets a crowd come, which stays to the end of the test."""
        crowd = Crowd(address or self.gateway.front, count, pieces, **options)
        crowd.start()
        self.addCleanup(crowd.stop)
        return crowd

    def check(self) -> None:
        """Checks the gateway beside the crowd, after it has been there."""
        gateway, limits = self.gateway, self.gateway.limits
        sockets = []
        ends_at = time.monotonic() + _CROWD_S
        while gateway.lives and time.monotonic() < ends_at:
            sockets.append(gateway.sockets)
            time.sleep(_LOOK_S)
        self.assertTrue(gateway.lives)
        gateway.wait(gateway.serves)
        gateway.wait(gateway.is_ready)
        self.assertLessEqual(gateway.memory_mb, limits.memory_mb)
        allowed = limits.descriptors - FILE_DESCRIPTORS
        self.assertLessEqual(max(sockets), allowed)
        self.assertTrue(gateway.lives)
