"""Reads what the kernel knows of a TCP connection's outgoing bytes."""

import socket
import struct

import msgspec

__all__ = ["SendState", "read_send_state"]

# Of struct tcp_info, since Linux 4.6: three of the leading bytes, then words at
# their offsets.
_INFO_BYTES = 148
_STATE_OFFSET = 0
_TCP_CLOSE = 7
_RETRANSMITS_OFFSET = 2
_PROBES_OFFSET = 3
_UNACKED_OFFSET = 24
_LAST_ACK_OFFSET = 56
_UNSENT_OFFSET = 144
_WORD = struct.Struct("=I")


class SendState(msgspec.Struct, frozen=True):
    """The outgoing side of a connection.

    Attributes:
      is_reset: whether the peer has reset the connection.
      in_flight: segments that were sent and are not acknowledged.
      unsent: bytes that the peer's window has no room for yet.
      unanswered: retransmissions, or probes of a closed window, since the last
        acknowledgement.
      silent_s: time since the last acknowledgement.
    """

    is_reset: bool
    in_flight: int
    unsent: int
    unanswered: int
    silent_s: float

    @property
    def is_delivered(self) -> bool:
        """Whether the peer has acknowledged all that was written."""
        return not (self.is_reset or self.in_flight or self.unsent)

    @property
    def is_window_closed(self) -> bool:
        """Whether bytes wait for the peer to read, and none is in flight."""
        return bool(self.unsent) and not self.in_flight


def read_send_state(sock: socket.socket) -> SendState | None:
    """Returns the state of a connection, None if the kernel does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        return None
    if len(info) < _INFO_BYTES:
        return None
    in_flight = _word(info, _UNACKED_OFFSET)
    offset = _RETRANSMITS_OFFSET if in_flight else _PROBES_OFFSET
    return SendState(
        info[_STATE_OFFSET] == _TCP_CLOSE,
        in_flight,
        _word(info, _UNSENT_OFFSET),
        info[offset],
        _word(info, _LAST_ACK_OFFSET) / 1000,
    )


def _word(info: bytes, offset: int) -> int:
    return _WORD.unpack_from(info, offset)[0]
