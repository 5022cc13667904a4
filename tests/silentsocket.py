"""Sockets that fall silent without a reset, as behind a lost path."""

import ctypes
import socket
import struct

__all__ = ["drop_all"]

_ATTACH_FILTER = 26
_RETURN_NOTHING = struct.pack("HBBI", 6, 0, 0, 0)


def drop_all(sock: socket.socket) -> None:
    """Drops all segments that arrive from now on; none is acknowledged."""
    program = ctypes.create_string_buffer(_RETURN_NOTHING)
    sock.setsockopt(
        socket.SOL_SOCKET,
        _ATTACH_FILTER,
        struct.pack("HL", 1, ctypes.addressof(program)),
    )
