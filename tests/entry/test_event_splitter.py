"""Tests of events that arrive in pieces, with any line end."""

from testtools import TestCase

from magnolialug.entry.eventsplitter import EventSplitter

LINE_ENDS = (b"\n", b"\r\n", b"\r")


def event(number, line_end):
    """Returns the bytes of an event."""
    lines = (b"id: %d" % number, b"data: word", b"", b"")
    return line_end.join(lines)


class EventSplitterTest(TestCase):
    """Line ends are LF, CRLF or CR, as the standard allows."""

    def test_no_byte_is_lost_or_held_back_wherever_a_stream_is_cut(self):
        """Guards against streams in CRLF that never begin or miss an end."""
        for line_end in LINE_ENDS:
            stream = b"".join(event(n, line_end) for n in (1, 2, 3))
            for cut in range(len(stream) + 1):
                splitter = EventSplitter()
                events = splitter.feed(stream[:cut])
                self.assertEqual(events, stream[: len(events)])
                whole = cut // len(event(1, line_end))
                self.assertLessEqual(whole, splitter.last_id)
                events += splitter.feed(stream[cut:])
                self.assertFalse(splitter.has_partial_event)
                case = (line_end, cut)
                self.assertEqual(stream, events + splitter.take_rest(), case)
                self.assertEqual(3, splitter.last_id, case)

    def test_an_event_in_parts_is_partial(self):
        """Guards against an end inside an event that looks whole."""
        for line_end in LINE_ENDS:
            whole = event(1, line_end)
            for cut in range(1, len(whole) - len(line_end)):
                splitter = EventSplitter()
                self.assertEqual(b"", splitter.feed(whole[:cut]))
                self.assertTrue(splitter.has_partial_event, (line_end, cut))

    def test_an_event_ends_behind_the_whole_blank_line(self):
        """Guards against runs that are joined inside a CRLF."""
        first, rest = event(1, b"\r\n")[:-1], event(1, b"\r\n")[-1:]
        splitter = EventSplitter()
        self.assertEqual(b"", splitter.feed(first))
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(0, splitter.last_id)
        self.assertEqual(first + rest, splitter.feed(rest))
        self.assertFalse(splitter.has_partial_event)

    def test_events_that_the_caller_has_are_dropped(self):
        """Guards against events that come twice after a resumption."""
        for line_end in LINE_ENDS:
            splitter = EventSplitter(last_id=2)
            stream = b"".join(event(n, line_end) for n in (1, 2, 3))
            self.assertEqual(event(3, line_end), splitter.feed(stream))

    def test_an_event_without_end_is_refused(self):
        """Guards against a process that buffers until its memory is full."""
        splitter = EventSplitter()
        splitter.feed(b"data: ")
        self.assertRaises(ValueError, self.feed_all, splitter)

    def feed_all(self, splitter):
        """Feeds a line without end."""
        for _ in range(300):
            splitter.feed(b"x" * 1024)
