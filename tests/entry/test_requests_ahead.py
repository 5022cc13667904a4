"""Tests of requests that are sent before earlier ones have been answered."""

from collections import deque

from testtools import TestCase

from magnolialug.entry.readscheduler import ReadScheduler
from magnolialug.standin.caller import request
from tests.gatewaycluster import GatewayCluster, config


class RequestsAheadTest(TestCase):
    """Each is answered in order, and none before the caller reads."""

    def setUp(self):
        super().setUp()
        limits = {**config()["limits"], "maxBodyBytes": 100_000}
        operator = config(limits=limits)
        self.cluster = GatewayCluster(engines=0, operator=operator)
        self.caller = self.cluster.caller()

    def statuses(self):
        return [answer.status for answer in self.caller.answers]

    def test_answers_come_in_order(self):
        """Guards against requests ahead that are lost or change places."""
        rows = [
            (request("/book/x", "1", body=b"x" * 9000), 200),
            (request("/none/x", "2", body=b"x"), 404),
            (request("/read/x", "3"), 200),
            (request("/read/x", "4", key="none"), 401),
            (request("/book/x", "5", body=b"y" * 50_000), 200),
            (request("/none/x", "6"), 404),
            (request("/read/x", "7"), 200),
        ]
        expected = [status for _, status in rows]
        data = b"".join(row for row, _ in rows)
        for size in (len(data), 5000, 77):
            self.caller = self.cluster.caller()
            for at in range(0, len(data), size):
                self.caller.pipe.write(data[at : at + size])
            self.cluster.pass_time(1)
            self.assertEqual(expected, self.statuses(), size)

    def test_nothing_is_served_while_the_caller_does_not_read(self):
        """Guards against answers that gather while none is read."""
        channel = self.caller.pipe.peer.protocol
        channel.pauseProducing()
        self.caller.pipe.write(request("/read/x", "1"))
        self.cluster.pass_time(0.2)
        self.caller.pipe.write(
            b"".join(request("/read/x", f"a{n}") for n in range(20))
        )
        self.cluster.pass_time(1)
        self.assertLessEqual(len(self.caller.answers), 2)
        channel.resumeProducing()
        self.cluster.pass_time(1)
        self.assertEqual([200] * 21, self.statuses())

    def test_waiting_for_a_turn_is_not_the_callers_delay(self):
        """Guards against a request that is refused as slow for our delay."""
        channel = self.caller.pipe.peer.protocol
        self.caller.pipe.write(request("/read/x", "0"))
        self.cluster.pass_time(0.2)
        channel.pauseProducing()
        self.caller.pipe.write(
            request("/read/x", "1") + request("/read/x", "2")
        )
        self.cluster.pass_time(6)
        channel.resumeProducing()
        self.cluster.pass_time(1)
        self.assertEqual([200] * 3, self.statuses())

    def test_small_chunks_make_up_the_body(self):
        """Guards against chunks that are lost between two turns."""
        body = bytes(range(33, 120)) * 60
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        data = self.chunked("c", chunks + b"0\r\n\r\n")
        data += request("/read/x", "d")
        self.caller.pipe.write(data)
        self.cluster.pass_time(1)
        self.assertEqual([200, 200], self.statuses())
        seen = [
            row.body
            for desk in self.cluster.desks.values()
            for row in desk.seen
            if row.request_id == "c"
        ]
        self.assertEqual([body], seen)

    def chunked(self, name, data):
        """Returns a request in chunks, with what comes behind its head."""
        head = request("/book/x", name, headers=("Transfer-Encoding: chunked",))
        lines = head.split(b"\r\n")
        kept = [row for row in lines if not row.startswith(b"Content-Length")]
        return b"\r\n".join(kept) + data

    def test_trailers_are_left_out_and_bounded(self):
        """Guards against trailer lines that are kept, or go on and on."""
        lines = b"a: b\r\n" * 500
        self.caller.pipe.write(self.chunked("1", b"1\r\nx\r\n0\r\n" + lines))
        self.cluster.pass_time(0.1)
        decoder = self.caller.pipe.peer.protocol._transferDecoder
        self.assertEqual([], decoder._trailerHeaders)
        self.caller.pipe.write(b"\r\n")
        self.cluster.pass_time(0.1)
        self.assertEqual([200], self.statuses())
        data = self.chunked("2", b"1\r\nx\r\n0\r\n" + lines * 4)
        self.caller.pipe.write(data)
        self.cluster.pass_time(0.1)
        self.assertEqual([200, 400], self.statuses())
        self.assertEqual(0, self.cluster.ran("2"))

    def test_lines_that_a_header_goes_on_in_are_bounded(self):
        """Guards against a head of very many lines of a byte."""
        head = request("/read/x", "1")[:-2] + b"x: y\r\n"
        self.caller.pipe.write(head + b" \r\n" * 2000)
        self.cluster.pass_time(0.1)
        self.assertEqual([413], self.statuses())


class _Reader:
    def __init__(self, scheduler, log, name, left):
        self._scheduler = scheduler
        self._log = log
        self._name = name
        self._left = left

    def continue_reading(self) -> None:
        """Notes its name, and waits for the next turn."""
        self._log.append(self._name)
        self._left -= 1
        if self._left:
            self._scheduler.add(self)


class ReadSchedulerTest(TestCase):
    """Readers continue in turn, one in each pass of the event loop."""

    def setUp(self):
        super().setUp()
        self.passes = deque()
        self.scheduler = ReadScheduler(
            lambda delay_s, call: self.passes.append(call)
        )
        self.log = []

    def run_pass(self):
        calls = list(self.passes)
        self.passes.clear()
        for call in calls:
            call()

    def reader(self, name, times):
        """Returns a reader that has some parts left."""
        return _Reader(self.scheduler, self.log, name, times)

    def test_each_pass_serves_one_reader(self):
        """Guards against a pass that grows with the number of readers."""
        for name in "abc":
            self.scheduler.add(self.reader(name, 2))
        for count in range(1, 7):
            self.run_pass()
            self.assertEqual(count, len(self.log))
        self.run_pass()
        self.assertEqual("abcabc", "".join(self.log))

    def test_a_reader_that_left_keeps_no_others_waiting(self):
        """Guards against readers that nobody serves any more."""
        first, second = self.reader("a", 1), self.reader("b", 1)
        self.scheduler.add(first)
        self.scheduler.add(second)
        self.scheduler.discard(first)
        self.run_pass()
        self.run_pass()
        self.assertEqual(["b"], self.log)
        self.scheduler.add(first)
        self.run_pass()
        self.assertEqual(["b", "a"], self.log)
