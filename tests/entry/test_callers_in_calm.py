"""Requests of legal size in calm, at a real gateway with low limits."""

import contextlib
import socket

from tests.crowdtest import CrowdTest, chunked
from tests.gatewayprocess import Limits, request, status_of

BODY = b"x" * Limits().body_bytes
_WAIT_S = 30.0


class CalmTest(CrowdTest):
    """Guards against limits that ordinary callers meet."""

    def setUp(self):
        super().setUp()
        self.start()

    def ask(self, data: bytes) -> int:
        """Returns the status of the answer to a request."""
        return self.gateway.ask(self.gateway.front, data)

    def test_the_largest_body(self):
        for number in range(8):
            for target in ("/book/x", "/book/slow"):
                data = request("POST", target, f"l{number}{target}", BODY)
                self.assertEqual(200, self.ask(data))

    def test_the_largest_chunked_body(self):
        head = chunked(request("POST", "/book/x", "c"))
        data = b"%x\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n"
        self.assertEqual(200, self.ask(head + data))

    def test_a_body_in_chunks_of_a_byte(self):
        head = chunked(request("POST", "/book/x", "t"))
        data = b"1\r\nx\r\n" * 300_000 + b"0\r\na: b\r\n\r\n"
        self.assertEqual(200, self.ask(head + data))

    def test_the_longest_heads(self):
        lines = {f"x{n}": "y" for n in range(480)}
        for headers in (lines, {"x": "y" * 14_000}, {"x" * 14_000: "y"}):
            data = request("GET", "/read/x", "h", **headers)
            self.assertEqual(200, self.ask(data))

    def test_a_prompt_of_many_parts(self):
        parts = ",".join(f"{n:x}:1" for n in range(1_800))
        headers = {
            "X-Model-Name": "m",
            "X-Token-Counts": "9000,20",
            "X-Prompt-Prefix": parts,
        }
        data = request("POST", "/draft/x", "p", b"{}", **headers)
        self.assertEqual(200, self.ask(data))

    def test_requests_ahead(self):
        """Each of them is answered, and the long ones among them too."""
        with socket.create_connection(self.gateway.front, _WAIT_S) as conn:
            for number in range(40):
                body = BODY if number % 20 == 0 else b"x"
                conn.sendall(request("POST", "/book/x", f"a{number}", body))
            data = b""
            while data.count(b"HTTP/1.1 200") < 40:
                piece = conn.recv(65536)
                self.assertTrue(piece, data[-500:])
                data += piece

    def test_many_open_connections(self):
        conns = []
        for number in range(150):
            conn = socket.create_connection(self.gateway.front, _WAIT_S)
            self.addCleanup(conn.close)
            conn.sendall(request("GET", "/read/x", f"m{number}"))
            self.assertEqual(200, status_of(conn))
            conns.append(conn)
        for number, conn in enumerate(conns):
            _rest_of_answer(conn)
            conn.sendall(request("GET", "/read/x", f"n{number}"))
            self.assertEqual(200, status_of(conn))


def _rest_of_answer(conn: socket.socket) -> None:
    """Reads what has arrived already."""
    conn.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        conn.recv(65536)
    conn.settimeout(_WAIT_S)
