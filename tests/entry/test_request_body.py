"""Tests of bodies that are held in blocks."""

from random import Random

from testtools import TestCase

from magnolialug.entry.requestbody import RequestBody


class RequestBodyTest(TestCase):
    """Bodies stay whole, however they arrive."""

    def test_pieces_of_all_sizes_make_up_the_body(self):
        """Guards against bytes that are lost, doubled or out of order."""
        for seed in range(20):
            random = Random(seed)
            sizes = (0, 1, 7, 700, 16_383, 16_384, 65_536, 70_000)
            pieces = [
                random.randbytes(random.choice(sizes))
                for _ in range(random.randrange(60))
            ]
            body = RequestBody()
            for piece in pieces:
                body.append(piece)
            self.assertEqual(b"".join(pieces), body.join())
            self.assertEqual(sum(map(len, pieces)), body.size)

    def test_small_pieces_are_joined(self):
        """Guards against a body that costs an object for each byte."""
        body = RequestBody()
        for _ in range(200_000):
            body.append(b"x")
        self.assertLess(len(body.blocks()), 5)

    def test_nothing_stays_after_a_release(self):
        body = RequestBody(b"x" * 100_000)
        body.release()
        self.assertEqual((), body.blocks())
        self.assertEqual(100_000, body.size)
