"""A head of the configuration that cannot be read, before sidecars."""

from testtools import TestCase
from twisted.internet.defer import ensureDeferred
from twisted.web.server import Site

from magnolialug.carrier.client import Client
from magnolialug.confstore import HEAD_KEY, read_head
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.result import Code, Failure
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from tests.loglines import collect_lines
from tests.network import Network
from tests.promises.test_config_in_force import TEXT, Watched, with_name

_DEEP = b'{"changes":' * 3000
_STORE = ("10.9.9.9", 1)


class UnreadableHeadTest(TestCase):
    """Somebody has written over the head, and it is mended."""

    def test_a_later_head_is_applied(self):
        """Guards against one value that ends the watch of a head."""
        lines = collect_lines(self)
        cluster = Watched(3)
        cluster.apply(TEXT, 0, "one")
        cluster.run(3)
        sound = cluster.kv._rows[HEAD_KEY].value
        cluster.kv._write(HEAD_KEY, _DEEP, 0)
        cluster.run(3)
        self.assertEqual({1}, cluster.versions)
        cluster.kv._write(HEAD_KEY, sound, 0)
        cluster.apply(with_name("other"), 1, "two")
        cluster.run(3)
        self.assertEqual({2}, cluster.versions)
        refused = [line for line in lines if "CONFIG_REFUSED" in line]
        self.assertNotEqual([], refused)

    def test_it_is_a_typed_failure(self):
        cluster = Watched(1)
        cluster.kv._write(HEAD_KEY, _DEEP, 0)
        found = ensureDeferred(read_head(cluster.kv)).result
        self.assertIsInstance(found, Failure)
        self.assertIs(Code.BAD_CONFIG_SYNTAX, found.code)

    def test_a_watch_that_raises_says_that_it_has_ended(self):
        """Guards against a watch that ends and that nobody begins again."""
        lines = collect_lines(self)
        net = Network()
        store = KvStore(net)
        net.servers[_STORE] = Site(kv_face(store), reactor=net)
        ended = []

        def fail(entry):
            raise LookupError("a fault of ours")

        KvHttp(Client(net), _STORE).watch("a", 0, fail, ended.append)
        net.advance_by(0.5)
        store._write("a", b"x", 0)
        net.advance_by(0.5)
        self.assertEqual([Code.KV_ERROR], [row.code for row in ended])
        self.assertTrue(any("a fault of ours" in line for line in lines))
