"""Events of a stream that is cut into pieces anywhere."""

from testtools import TestCase

from magnolialug.eventgaps.eventcounter import EventCounter


def count(*pieces):
    """Returns how many events each piece ends."""
    counter = EventCounter()
    return [counter.feed(piece) for piece in pieces]


class EventCounterTest(TestCase):
    """Streams with any line ends."""

    def test_pieces_of_any_size_hold_the_same_events(self):
        """Guards against events lost or counted twice at a piece's end."""
        lines = (b"id: 1", b"data: a", b"", b"", b": c", b"", b"data: b", b"")
        for end in (b"\n", b"\r\n", b"\r"):
            stream = end.join((*lines, b""))
            for size in range(1, len(stream) + 1):
                pieces = [
                    stream[at : at + size] for at in range(0, len(stream), size)
                ]
                self.assertEqual(2, sum(count(*pieces)), (end, size))

    def test_part_of_an_event_is_none(self):
        """Guards against bytes inside an event that end a pause."""
        self.assertEqual([0, 0, 1], count(b"data: a", b"\n", b"\n"))
        self.assertEqual([0, 1, 0], count(b"data: a\r\n", b"\r", b"\n"))

    def test_a_comment_is_none(self):
        """Guards against a pause that comments hide."""
        self.assertEqual([0, 1], count(b": wait\n\n", b": x\ndata: a\n\n"))

    def test_blank_lines_alone_are_none(self):
        self.assertEqual([0, 1, 0], count(b"\n\n", b"data: a\n\n", b"\n\n"))
