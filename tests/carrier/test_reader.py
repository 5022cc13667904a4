"""Parsing of HTTP responses, in one piece and byte by byte."""

from testtools import TestCase

from magnolialug.carrier.reader import BadResponseError, ResponseReader

HEAD = b"HTTP/1.1 200 OK\r\n"


class Recorder:
    """Records the callbacks of a reader."""

    def __init__(self):
        self.events = []
        self.reader = ResponseReader(
            lambda head: self.events.append(head.status),
            lambda data: self.events.append(data),
            lambda: self.events.append("end"),
        )


class ReaderTest(TestCase):
    """Complete and malformed responses, in tables."""

    COMPLETE = (
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

    def test_complete_responses_in_one_piece_and_byte_by_byte(self):
        for text, expected in self.COMPLETE:
            log = Recorder()
            log.reader.feed(HEAD + text)
            self.assertEqual(expected, log.events)
            log = Recorder()
            for byte in HEAD + text:
                log.reader.feed(bytes([byte]))
            pieces = [t for t in log.events if isinstance(t, bytes)]
            self.assertEqual(
                b"".join(t for t in expected if isinstance(t, bytes)),
                b"".join(pieces),
            )
            self.assertEqual("end", log.events[-1])

    def test_status_outside_100_to_599_is_rejected(self):
        """Guards against a status of no class that passes for an answer."""
        for status in (b"000", b"001", b"099", b"600", b"999"):
            log = Recorder()
            text = b"HTTP/1.1 %b OK\r\nContent-Length: 0\r\n\r\n" % status
            self.assertRaises(BadResponseError, log.reader.feed, text)
            self.assertEqual([], log.events, status)

    def test_malformed_responses_are_rejected(self):
        for data in self.BAD:
            log = Recorder()
            self.assertRaises(BadResponseError, log.reader.feed, data)
            self.assertNotIn("end", log.events, data)

    def test_interim_responses_are_skipped(self):
        log = Recorder()
        log.reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n")
        log.reader.feed(HEAD + b"Content-Length: 1\r\n\r\na")
        self.assertEqual([200, b"a", "end"], log.events)

    def test_a_body_without_length_ends_at_the_close(self):
        log = Recorder()
        log.reader.feed(HEAD + b"\r\nabc")
        self.assertEqual([200, b"abc"], log.events)
        self.assertTrue(log.reader.end_of_stream())
        self.assertEqual("end", log.events[-1])

    def test_a_truncated_body_with_length_does_not_end_at_the_close(self):
        log = Recorder()
        log.reader.feed(HEAD + b"Content-Length: 5\r\n\r\nabc")
        self.assertFalse(log.reader.end_of_stream())
        self.assertNotIn("end", log.events)

    def test_a_status_without_body_ends_after_the_head(self):
        log = Recorder()
        log.reader.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual([204, "end"], log.events)
