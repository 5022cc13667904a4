"""Requests whose callers stop at any byte and close, or reset."""

from testtools import TestCase

from magnolialug.standin.caller import Caller, request
from tests.gatewaycluster import GATEWAY, GatewayCluster

_BODY = b"a body of 21 letters."
_CHUNKED = ("Transfer-Encoding: chunked",)
_LAST_CHUNKS = (b"0\r\n\r\n", b"0;a=b\r\nA: b\r\n\r\n")


def requests():
    """Returns requests with a body in all framings, by name."""
    by_length = request("/book/x", "1", body=_BODY)
    head = request("/book/x", "1", method="PUT", headers=_CHUNKED)
    chunks = b"7\r\n%b\r\ne;a=b\r\n%b\r\n" % (_BODY[:7], _BODY[7:])
    found = {"none": request("/book/x", "1"), "length": by_length}
    for number, last in enumerate(_LAST_CHUNKS):
        found[f"chunks {number}"] = head + chunks + last
    return found


class CutRequestTest(TestCase):
    """A gateway with one endpoint, whose requests must not be repeated."""

    def setUp(self):
        super().setUp()
        self.cluster = GatewayCluster(desks=1, engines=0)
        (self.desk,) = self.cluster.desks.values()

    def send(self, pieces, resets=False):
        """Sends pieces, closes, and returns the bodies that were run."""
        seen = len(self.desk.seen)
        net = self.cluster.net
        pipe = net.connect(Caller(net), GATEWAY)
        for piece in pieces:
            pipe.write(piece)
        net.advance_by(0.02)
        pipe.abortConnection() if resets else pipe.loseConnection()
        net.advance_by(0.03)
        return [row.body for row in self.desk.seen[seen:]]

    def test_a_cut_request_is_not_run(self):
        """Guards against a part of a request that runs as a whole one."""
        for name, text in requests().items():
            for size in range(len(text)):
                resets = bool(size % 2)
                found = self.send([text[:size]], resets)
                self.assertEqual([], found, (name, text[:size][-20:]))
            self.assertEqual(1, len(self.send([text])), name)

    def test_a_request_cut_in_its_body_is_not_run_however_it_ends(self):
        """Guards against a close or a reset that ends a body."""
        for name, text in requests().items():
            for size in range(text.index(b"\r\n\r\n"), len(text)):
                for resets in (False, True):
                    found = self.send([text[:size]], resets)
                    self.assertEqual([], found, (name, size, resets))

    def test_a_whole_request_runs_once_with_its_whole_body(self):
        for name, text in requests().items():
            expected = [b"" if name == "none" else _BODY]
            self.assertEqual(expected, self.send([text]), name)
            single = [text[at : at + 1] for at in range(len(text))]
            self.assertEqual(expected, self.send(single), name)
