"""What is a response, byte by byte."""

from testtools import TestCase

from magnolialug.carrier.reader import BadResponseError, ResponseReader

HEAD = b"HTTP/1.1 200 OK\r\n"


class Log:
    """What a reader told."""

    def __init__(self):
        self.told = []
        self.reader = ResponseReader(
            lambda head: self.told.append(head.status),
            lambda data: self.told.append(data),
            lambda: self.told.append("end"),
        )


class ReaderTest(TestCase):
    """Framing, in tables."""

    WHOLE = (
        (b"Content-Length: 3\r\n\r\nabc", [200, b"abc", "end"]),
        (b"Content-Length: 0\r\n\r\n", [200, "end"]),
        (
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            [200, b"abc", "end"],
        ),
    )
    BAD = (
        b"garbage\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD + b"Content-Length: x\r\n\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        HEAD + b"No colon here\r\n\r\n",
        HEAD + b"Bad\x00Name: 1\r\n\r\n",
    )

    def test_whole_responses_in_one_piece_and_byte_by_byte(self):
        for text, told in self.WHOLE:
            log = Log()
            log.reader.feed(HEAD + text)
            self.assertEqual(told, log.told)
            log = Log()
            for byte in HEAD + text:
                log.reader.feed(bytes([byte]))
            pieces = [t for t in log.told if isinstance(t, bytes)]
            self.assertEqual(
                b"".join(t for t in told if isinstance(t, bytes)),
                b"".join(pieces),
            )
            self.assertEqual("end", log.told[-1])

    def test_what_is_no_response(self):
        for data in self.BAD:
            log = Log()
            self.assertRaises(BadResponseError, log.reader.feed, data)
            self.assertNotIn("end", log.told, data)

    def test_interim_responses_are_passed_over(self):
        log = Log()
        log.reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n")
        log.reader.feed(HEAD + b"Content-Length: 1\r\n\r\na")
        self.assertEqual([200, b"a", "end"], log.told)

    def test_a_body_without_length_ends_with_its_connection(self):
        log = Log()
        log.reader.feed(HEAD + b"\r\nabc")
        self.assertEqual([200, b"abc"], log.told)
        self.assertTrue(log.reader.closed())
        self.assertEqual("end", log.told[-1])

    def test_a_body_with_length_does_not(self):
        log = Log()
        log.reader.feed(HEAD + b"Content-Length: 5\r\n\r\nabc")
        self.assertFalse(log.reader.closed())
        self.assertNotIn("end", log.told)

    def test_no_body_where_none_may_be(self):
        log = Log()
        log.reader.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual([204, "end"], log.told)
