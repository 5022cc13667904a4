"""Log lines are bounded, and their reader can stop reading."""

import os
import time

import msgspec
from testtools import TestCase

from magnolialug import events
from magnolialug.events import Event
from magnolialug.logwriter import LogWriter
from magnolialug.policy.loglimiter import Grade, LogLimiter
from magnolialug.requestlog import RequestLog
from tests.loglines import collect_lines


class WriterTest(TestCase):
    """A pipe as the log's stream."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)

    def test_lines_arrive_whole_and_in_order(self):
        self.addCleanup(os.close, self.writer)
        log = LogWriter(self.writer)
        lines = [f"{n} " + "x" * (n * 7 % 300) + "\n" for n in range(50)]
        for line in lines:
            log.write(line)
        log.flush()
        self.assertEqual("".join(lines), os.read(self.reader, 65536).decode())

    def test_a_reader_that_does_not_read_blocks_nothing(self):
        """The collector of the logs hangs.

        Symptom: every request of a process hangs. Sequence: the pipe is
        full, the next line is written. Cause: a write to a full pipe waits.
        """
        self.addCleanup(os.close, self.writer)
        log = LogWriter(self.writer)
        begun = time.monotonic()
        for number in range(20_000):
            log.write(f"{number} " + "x" * 100 + "\n")
            if number % 50 == 0:
                log.flush()
        self.assertLess(time.monotonic() - begun, 2.0)
        self.assertGreater(log.lost, 10_000)
        first = os.read(self.reader, 65536)
        self.assertTrue(first.startswith(b"0 x"))
        log.flush()
        self.assertTrue(os.read(self.reader, 65536))

    def test_a_line_longer_than_a_pipe_takes_at_once(self):
        self.addCleanup(os.close, self.writer)
        log = LogWriter(self.writer)
        log.write("y" * 10_000 + "\n")
        log.flush()
        self.assertEqual(10_001, len(os.read(self.reader, 65536)))

    def test_a_reader_that_is_gone(self):
        os.close(self.writer)
        reader, writer = os.pipe()
        os.close(reader)
        log = LogWriter(writer)
        log.write("line\n")
        log.flush()
        os.close(writer)
        self.addCleanup(lambda: None)


class BoundsTest(TestCase):
    """Ten times the load that the bounds leave room for."""

    def test_the_bound_holds_under_ten_times_the_load(self):
        bounds = LogLimiter(detail_per_s=400, kept_per_s=400)
        written = {Grade.DETAIL: 0, Grade.KEPT: 0}
        now = 100.0
        for _ in range(10 * 4000):
            now += 1 / 4000
            written[Grade.DETAIL] += bounds.take(Grade.DETAIL, now)
        self.assertLessEqual(written[Grade.DETAIL], 400 * 10 + 400 + 1)
        self.assertEqual(40_000 - written[Grade.DETAIL], bounds.take_dropped())
        self.assertEqual(0, bounds.take_dropped())

    def test_what_explains_failures_has_room_of_its_own(self):
        bounds = LogLimiter(detail_per_s=10, kept_per_s=10)
        while bounds.take(Grade.DETAIL, 1.0):
            pass
        self.assertTrue(bounds.take(Grade.KEPT, 1.0))


class CollectedLinesTest(TestCase):
    """What a test collects does not depend on the tests before it."""

    def test_lines_are_collected_though_earlier_tests_used_up_the_limit(self):
        """Guards against tests that fail by how fast the earlier ones ran."""
        self.patch(events, "_bounds", LogLimiter(0, 0))
        lines = collect_lines(self)
        for _ in range(2000):
            events.emit(Event.KV_LOST)
        self.assertEqual(2000, len(lines))


class RequestLogTest(TestCase):
    """Lines of failed requests are written even over the bounds."""

    def lines(self, work):
        """Returns the events that are written while work is done."""
        limiter = LogLimiter(detail_per_s=0, kept_per_s=100)
        lines = collect_lines(self, limiter)
        work()
        return [msgspec.json.decode(str(line))["name"] for line in lines]

    def test_a_failed_request_keeps_its_lines(self):
        def work():
            log = RequestLog("r1")
            log.emit(Event.PLACED, endpoint="i-1")
            log.emit(Event.REQUEST_FAILED, code=1)
            log.failed()

        self.assertEqual({"PLACED", "REQUEST_FAILED"}, set(self.lines(work)))

    def test_a_served_one_gives_them_up(self):
        def work():
            log = RequestLog("r1")
            log.emit(Event.PLACED, endpoint="i-1")
            log.emit(Event.REQUEST_DONE)

        self.assertEqual([], self.lines(work))
