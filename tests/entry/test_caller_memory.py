"""Callers that do not behave, and the memory of a real gateway."""

from itertools import chain

from tests.crowdtest import CrowdTest, chunked, in_pieces
from tests.gatewayprocess import Limits, request

BODY = b"x" * Limits().body_bytes
_CROWD = 60
_HEAD_BYTES = 14_000
# Connections cost little each, so it takes many of them and little memory.
_MANY_CONNECTIONS = Limits(memory_mb=70, descriptors=4100)


class BodyTest(CrowdTest):
    """Bodies of legal size, many at once."""

    def bodies(self, target: str, size: int = 65536, left: int = 0, **options):
        """Returns what sends a body, without its last bytes."""

        def pieces(number: int):
            data = request("POST", target, f"w{number}", BODY, **options)
            return in_pieces(data[: len(data) - left], size)

        return pieces

    def test_whole_bodies(self):
        """Guards against bodies that end the process, each with its copies."""
        self.start()
        self.crowd(_CROWD, self.bodies("/book/x"))
        self.check()

    def test_whole_bodies_whose_answers_are_read(self):
        """Guards against bodies that outlast their answers."""
        self.start()
        self.crowd(_CROWD, self.bodies("/read/x"), reads=True)
        self.check()

    def test_whole_bodies_at_slow_endpoints(self):
        """Guards against write buffers that hold what endpoints do not read."""
        self.start()
        self.crowd(_CROWD, self.bodies("/book/slow"))
        self.check()

    def test_bodies_short_of_their_end(self):
        """Guards against bodies that wait for a last byte."""
        self.start()
        self.crowd(_CROWD, self.bodies("/book/x", left=1))
        self.check()

    def test_bodies_in_small_pieces_short_of_their_end(self):
        """Guards against small pieces that cost more than their bytes."""
        self.start()
        self.crowd(_CROWD, self.bodies("/book/x", size=700, left=1))
        self.check()

    def test_whole_bodies_without_a_key(self):
        """Guards against bodies that are read although no key comes."""
        self.start()
        self.crowd(_CROWD, self.bodies("/book/x", key=""))
        self.check()

    def test_bodies_without_a_key_short_of_their_end(self):
        """Guards against bodies that are kept although no key came."""
        self.start()
        self.crowd(_CROWD, self.bodies("/book/x", key="", left=1))
        self.check()

    def test_bodies_with_an_unknown_key_short_of_their_end(self):
        """Guards against bodies that are kept for a key that nobody has."""
        self.start()
        self.crowd(_CROWD, self.bodies("/book/x", key="key-z", left=1))
        self.check()

    def test_bodies_without_a_route_short_of_their_end(self):
        """Guards against bodies that are kept for a path of no route."""
        self.start()
        self.crowd(_CROWD, self.bodies("/none/x", left=1))
        self.check()

    def test_bodies_of_callers_that_leave(self):
        """Guards against bodies of bookings whose callers have left."""
        self.start()

        def pieces(number: int):
            yield from self.bodies("/book/slow")(number)
            raise ConnectionResetError

        self.crowd(_CROWD, pieces, opens_again=True)
        self.check()


class ChunkedBodyTest(CrowdTest):
    """Bodies whose heads tell no length."""

    def test_chunked_bodies_short_of_their_end(self):
        """Guards against bodies whose size the head does not tell."""
        self.start()
        head = chunked(request("POST", "/book/x", "w"))
        data = head + b"%x\r\n" % len(BODY) + BODY

        self.crowd(_CROWD, lambda number: in_pieces(data))
        self.check()

    def test_trailers_of_many_lines(self):
        """Guards against trailer lines that are kept as objects."""
        self.start()
        head = chunked(request("POST", "/book/x", "w"))
        data = head + b"0\r\n" + b"a:\r\n" * 12_000
        self.crowd(150, lambda number: in_pieces(data))
        self.check()


class RequestsAheadTest(CrowdTest):
    """Requests that are sent before earlier ones have been answered."""

    def test_bodies_ahead_whose_answers_are_read(self):
        """Guards against bodies that are kept after their requests."""
        self.start()
        self.crowd(8, self.bookings, reads=True)
        self.check()

    def test_bodies_ahead_with_answers_unread(self):
        """Guards against the same beside answers that nobody reads."""
        self.start()
        self.crowd(8, self.bookings)
        self.check()

    def bookings(self, number: int):
        """Sends twelve of the largest bodies behind one another."""
        rows = (f"w{number}.{n}" for n in range(12))
        return chain.from_iterable(
            in_pieces(request("POST", "/book/x", name, BODY)) for name in rows
        )

    def test_long_answers_to_requests_ahead_unread(self):
        """Guards against answers that gather while none is read."""
        self.start()

        def pieces(number: int):
            rows = (f"w{number}.{n}" for n in range(400))
            return in_pieces(
                b"".join(
                    request("GET", "/read/x?size=60000", name) for name in rows
                )
            )

        self.crowd(20, pieces)
        self.check()

    def test_long_answers_unread(self):
        """Guards against answers that are read ahead without a bound."""
        self.start()
        self.crowd(
            30,
            lambda number: iter(
                [request("GET", "/read/x?size=12000000", f"w{number}")]
            ),
        )
        self.check()

    def test_refusals_of_requests_ahead_unread(self):
        """Guards against refusals that gather while none is read."""
        self.start()
        data = b"GET /n HTTP/1.1\r\nHost: a\r\n\r\n" * 2_000
        self.crowd(60, lambda number: iter([data] * 60))
        self.check()


class HeadTest(CrowdTest):
    """Heads that take the place of bodies."""

    def test_long_heads_short_of_their_end(self):
        """Guards against heads that nobody counts."""
        self.start(_MANY_CONNECTIONS)
        head = request("GET", "/read/x", "w", X_Long="y" * _HEAD_BYTES)
        self.crowd(2_000, lambda _: in_pieces(head[:-2]), opens_again=True)
        self.check()

    def test_heads_of_many_lines_short_of_their_end(self):
        """Guards against header lines that cost more than their bytes."""
        self.start(_MANY_CONNECTIONS)
        head = request("GET", "/read/x", "w")[:-2]

        def pieces(number: int):
            lines = (b"x%x-%x:\r\n" % (number, n) for n in range(480))
            return in_pieces(head + b"".join(lines))

        self.crowd(600, pieces, opens_again=True)
        self.check()

    def test_names_of_headers(self):
        """Guards against long names that are kept for good."""
        self.start()

        def pieces(number: int):
            for again in range(300):
                name = f"q{number}_{again}_" + "z" * _HEAD_BYTES
                yield request("GET", "/none/x", "w", **{name: "1"})

        self.crowd(20, pieces, reads=True)
        self.check()

    def test_prompts_of_many_parts(self):
        """Guards against parts of prompts that cost more than their bytes."""
        self.start(_MANY_CONNECTIONS)

        def pieces(number: int):
            parts = (f"{number * 5000 + n:x}:1" for n in range(1_800))
            data = request(
                "POST",
                "/draft/x",
                f"w{number}",
                b"{}",
                X_Model_Name="m",
                X_Token_Counts="90000,20",
                X_Prompt_Prefix=",".join(parts),
            )
            return in_pieces(data)

        self.crowd(600, pieces, reads=True, opens_again=True)
        self.check()


class PromptTest(CrowdTest):
    """Prompts that are served, and what stays of them."""

    def test_parts_of_served_prompts(self):
        """Guards against parts that are remembered by the token."""
        self.start(Limits(memory_mb=90))
        names = iter(range(0x10000, 0xFFFFF))

        def pieces(number: int):
            for again in range(40):
                parts = (f"{next(names):x}:1" for _ in range(1_700))
                yield request(
                    "POST",
                    "/draft/x",
                    f"w{number}.{again}",
                    b"{}",
                    X_Model_Name="m",
                    X_Token_Counts="1800,20",
                    X_Prompt_Prefix=",".join(parts),
                )

        self.crowd(8, pieces, reads=True)
        self.check()


class OtherListenerTest(CrowdTest):
    """Bodies at the listeners that are not for callers."""

    def bodies(self, address):
        """Sends bodies that no page takes."""
        head = b"POST /readyz HTTP/1.1\r\nHost: a\r\nContent-Length: 50000000"
        data = head + b"\r\n\r\n" + BODY * 2
        self.crowd(40, lambda number: in_pieces(data), address)
        self.check()

    def test_bodies_at_the_readiness_listener(self):
        """Guards against bodies that the readiness answer waits for."""
        self.bodies(self.start().ready)

    def test_bodies_at_the_metrics_listener(self):
        """Guards against bodies that the metrics page waits for."""
        self.bodies(self.start().metrics)
