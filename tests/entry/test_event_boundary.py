"""Tests of the boundaries between the events of a stream."""

import re

from hypothesis import given
from hypothesis import strategies as st
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
        (b"data: x\r\n\r", True),
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


class EventCountTest(TestCase):
    """Events that are counted while a stream passes."""

    CASES = (
        (b"", 0),
        (b"\n\n\n", 0),
        (b"data: x\n\n", 1),
        (b"data: x\n\n\n\ndata: y\n\n", 2),
        (b"data: x\r\n\r\ndata: y\r\n\r\n", 2),
        (b"data: x\r\rdata: y\r\r", 2),
        (b"id: 1\r\ndata: x\r\n", 0),
        (b"data: x\n\r\ndata: y", 1),
    )

    def test_each_event_is_counted_once_however_the_bytes_arrive(self):
        """Guards against an end that is counted twice, or as two lines."""
        for data, count in self.CASES:
            for size in range(1, len(data) + 2):
                boundary = EventBoundary()
                counted = sum(
                    boundary.feed(data[begin : begin + size])
                    for begin in range(0, len(data), size)
                )
                self.assertEqual(count, counted, (data, size))

    @given(
        pieces=st.lists(
            st.text(alphabet="x\r\n", max_size=7).map(str.encode), max_size=8
        )
    )
    def test_the_count_does_not_depend_on_the_pieces(self, pieces):
        """Guards against ends that are missed where a piece begins."""
        boundary = EventBoundary()
        counted = sum(boundary.feed(piece) for piece in pieces)
        lines = re.sub(b"\r\n?", b"\n", b"".join(pieces))
        self.assertEqual(lines.count(b"x\n\n"), counted)
