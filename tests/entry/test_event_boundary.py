"""Tests of the boundaries between the events of a stream."""

from testtools import TestCase

from magnolialug.entry.eventboundary import EventBoundary


class EventBoundaryTest(TestCase):
    """Streams that end inside an event, or between two."""

    CASES = (
        (b"", False),
        (b"\n", False),
        (b"id: 1\ndata: x\n\n", False),
        (b"id: 1\r\ndata: x\r\n\r\n", False),
        (b"id: 1\rdata: x\r\r", False),
        (b"data: x\n\n\n", False),
        (b"data: x\n\nid: 2", True),
        (b"data: x\n\nid: 2\n", True),
        (b"data: x\r\n\r\nid: 2\r\n", True),
        (b"data: x\r\n", True),
        (b"d", True),
    )

    def test_partial_events_are_found_however_the_bytes_arrive(self):
        """Guards against a boundary that is missed between two pieces."""
        for data, inside in self.CASES:
            for size in range(1, len(data) + 2):
                boundary = EventBoundary()
                for begin in range(0, len(data), size):
                    boundary.feed(data[begin : begin + size])
                self.assertEqual(inside, boundary.is_inside_event, (data, size))
