"""A connection whose reading was paused by its last answer."""

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster
from tests.network import Pipe

# Above this, a transport asks its producer to pause until it has written.
_BUFFER_BYTES = 64 * 1024
_WRITTEN_S = 0.002
_LONG = b"r" * 80_000
_SERVED = 12


class PausedConnectionTest(TestCase):
    """A long answer whose end came with the bytes that paused it."""

    def setUp(self):
        super().setUp()
        self.pauses = 0
        write = Pipe.write

        def write_and_pause(pipe, data):
            write(pipe, data)
            if pipe.producer is not None and len(data) > _BUFFER_BYTES:
                self.pauses += 1
                pipe.producer.pauseProducing()
                pipe.net.callLater(_WRITTEN_S, resume, pipe)

        def resume(pipe):
            if pipe.producer is not None:
                pipe.producer.resumeProducing()

        self.patch(Pipe, "write", write_and_pause)

    def test_the_next_answer_on_it_is_read(self):
        """Guards against requests that run and are never answered."""
        cluster = GatewayCluster(desks=1)
        (desk,) = cluster.desks.values()
        answer = desk.answer

        def long_reads(conn, req):
            if req.target.startswith("/read/"):
                stamp = [("X-Response-Stamp", "s")]
                conn.reply(req, 200, _LONG, stamp)
            else:
                answer(conn, req)

        desk.answer = long_reads
        readers = [cluster.send("/read/x") for _ in range(_SERVED)]
        cluster.pass_time(1)
        for reader in readers:
            self.assertEqual(200, reader.last.status)
            self.assertEqual(len(_LONG), len(reader.last.body))
        self.assertGreater(self.pauses, 0)
        bookers = [cluster.send("/book/x", body=b"x") for _ in range(_SERVED)]
        cluster.pass_time(1)
        for booker in bookers:
            self.assertEqual(1, cluster.ran(booker.request_id))
            self.assertEqual(200, booker.last.status)
