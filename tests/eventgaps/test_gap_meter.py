"""Pauses of one answer, by its caller's clock."""

from testtools import TestCase

from magnolialug.eventgaps.meter import GapMeter

EVENT = b"data: a\n\n"


class GapMeterTest(TestCase):
    """Events at given times."""

    def setUp(self):
        super().setUp()
        self.now = 0.0
        self.meter = GapMeter(lambda: self.now)

    def events_at(self, *times):
        """Hands over an event at each time."""
        for self.now in times:
            self.meter.record(EVENT)

    def test_the_longest_pause_and_the_event_before_it(self):
        self.events_at(5.0, 5.1, 6.0, 6.5)
        meter = self.meter
        self.assertEqual((4, 5.0), (meter.events, meter.first_at))
        self.assertAlmostEqual(0.9, meter.longest_s)
        self.assertEqual(2, meter.longest_after)

    def test_part_of_an_event_ends_no_pause(self):
        """Guards against a stalled event that looks like two short pauses."""
        self.events_at(1.0)
        self.now = 1.6
        self.meter.record(b"data: a")
        self.now = 2.0
        self.meter.record(b"\n\n")
        self.assertAlmostEqual(1.0, self.meter.longest_s)

    def test_events_in_one_piece_have_no_pause_between_them(self):
        self.events_at(1.0)
        self.now = 1.5
        self.meter.record(3 * EVENT)
        self.assertEqual(4, self.meter.events)
        self.assertEqual((0.5, 1), (self.meter.longest_s, 1))

    def test_time_in_which_the_caller_does_not_read_is_no_pause_of_ours(self):
        """Guards against engines that are blamed for slow callers."""
        self.events_at(1.0)
        self.now = 1.2
        self.meter.pause()
        self.now = 3.2
        self.meter.resume()
        self.events_at(3.5)
        self.assertAlmostEqual(0.5, self.meter.longest_s)
        self.assertAlmostEqual(2.0, self.meter.reader_paused_s)

    def test_an_event_that_comes_while_the_caller_does_not_read(self):
        self.events_at(1.0)
        self.now = 1.5
        self.meter.pause()
        self.events_at(2.5)
        self.now = 3.5
        self.meter.resume()
        self.events_at(3.6)
        self.assertAlmostEqual(0.5, self.meter.longest_s)
        self.assertEqual(1, self.meter.longest_after)
        self.assertAlmostEqual(2.0, self.meter.reader_paused_s)

    def test_a_pause_that_nothing_ends_counts_once_the_answer_breaks_off(self):
        """Guards against a caller that leaves for a pause nobody tells."""
        self.events_at(1.0, 1.1)
        self.now = 4.1
        self.assertAlmostEqual(0.1, self.meter.longest_s)
        self.meter.break_off()
        self.assertAlmostEqual(3.0, self.meter.longest_s)
        self.assertEqual(2, self.meter.longest_after)

    def test_without_an_event_there_is_no_pause(self):
        self.now = 9.0
        self.meter.break_off()
        self.assertEqual(0.0, self.meter.longest_s)
