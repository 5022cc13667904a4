"""Servers that close, or reset, behind any byte of their response."""

from twisted.internet.protocol import Factory, Protocol

__all__ = ["HEAD", "CutServer", "framings"]

HEAD = b"HTTP/1.1 200 OK\r\n"
_PIECE_BYTES = 7


class _CutProtocol(Protocol):
    def dataReceived(self, data):
        """Answers a request with some first bytes of the response."""
        self.factory.count += 1
        self.transport.write(self.factory.response)
        if self.factory.resets:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()


class CutServer(Factory):
    """Sends bytes and ends the connection, in order or by a reset."""

    noisy = False
    protocol = _CutProtocol

    def __init__(self, response, resets=False):
        self.count = 0
        self.response = response
        self.resets = resets


def framings(body, status=b"200 OK"):
    """Returns heads and bodies of one response in all framings, by name."""
    pieces = [
        body[at : at + _PIECE_BYTES] for at in range(0, len(body), _PIECE_BYTES)
    ]
    chunks = b"".join(b"%x;a=b\r\n%b\r\n" % (len(p), p) for p in pieces)
    first = b"HTTP/1.1 %b\r\n" % status
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    early = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
    return {
        "length": (first + length, body),
        "chunks": (first + chunked, chunks + b"0\r\n\r\n"),
        "trailers": (first + chunked, chunks + b"0\r\nA: b\r\nC: d\r\n\r\n"),
        "interim": (early + first + length, body),
        "close": (first + b"\r\n", body),
    }
