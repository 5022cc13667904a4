"""One contract for the key-value service, directly and over HTTP."""

from testtools import TestCase
from testtools.twistedsupport import AsynchronousDeferredRunTest
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred
from twisted.web.server import Site

from magnolialug.carrier.client import Client
from magnolialug.platform.kv import VALUE_LIMIT
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.result import Code, Failure
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.timing import sleep
from tests.network import Network


class KvContract:
    """What every implementation does; `kv` and `store` are set up below."""

    async def contract(self):
        kv = self.kv
        self.assertIsNone(await kv.get("a"))
        won = await kv.put_if("a", b"1", 0)
        self.assertTrue(won.won)
        again = await kv.put_if("a", b"2", 0)
        self.assertFalse(again.won)
        self.assertEqual(b"1", again.current.value)
        self.assertEqual(won.revision, again.current.revision)
        moved = await kv.put_if("a", b"2", won.revision)
        self.assertGreater(moved.revision, won.revision)
        stale = await kv.put_if("a", b"3", won.revision)
        self.assertEqual((False, b"2"), (stale.won, stale.current.value))
        gone = await kv.put_if("none", b"x", 7)
        self.assertEqual((False, None), (gone.won, gone.current))
        await kv.put_if("ab", b"4", 0)
        await kv.put_if("b", b"5", 0)
        rows = await kv.scan("a")
        self.assertEqual(["a", "ab"], [row.key for row in rows])
        self.store.page_size = 1
        rows = await kv.scan("a")
        self.assertEqual(["a", "ab"], [row.key for row in rows])
        page = await kv.page("a", "a")
        self.assertEqual(["ab"], [row.key for row in page.entries])
        self.assertFalse(page.more)
        self.assertTrue(await kv.delete("ab"))
        self.assertFalse(await kv.delete("ab"))
        big = await kv.put_if("big", b"x" * (VALUE_LIMIT + 1), 0)
        self.assertEqual(Code.KV_ERROR, big.code)
        lease = await kv.grant(30)
        self.assertGreater(await kv.keep(lease), 0)
        self.assertEqual(0, await kv.keep(lease + 1000))
        await self.faults(kv)
        await self.watching(kv)

    async def faults(self, kv):
        self.store.faults.lose_answers = 1
        lost = await kv.put_if("lost", b"1", 0)
        self.assertEqual(Code.KV_TIMEOUT, lost.code)
        self.assertEqual(b"1", (await kv.get("lost")).value)
        self.store.faults.down = True
        for answer in (
            await kv.get("a"),
            await kv.put_if("c", b"1", 0),
            await kv.scan("a"),
            await kv.grant(5),
        ):
            self.assertIsInstance(answer, Failure)
        self.store.faults.down = False
        self.assertIsNone(await kv.get("c"))

    async def watching(self, kv):
        seen = []
        ended = []
        first = await kv.put_if("w", b"1", 0)
        stop = kv.watch(
            "w",
            first.revision,
            lambda row: seen.append(row.value),
            ended.append,
        )
        await sleep(reactor, 0.05)
        await kv.put_if("w", b"2", first.revision)
        await self.until(lambda: seen == [b"2"])
        self.store.end_watches()
        await self.until(lambda: ended)
        stop()

    async def until(self, condition):
        while not condition():
            await sleep(reactor, 0.01)


class DirectTest(KvContract, TestCase):
    """The stand-in itself."""

    run_tests_with = AsynchronousDeferredRunTest.make_factory(timeout=10)

    def test_contract(self):
        self.store = self.kv = KvStore(reactor)
        return ensureDeferred(self.contract())


class LongAnswerTest(TestCase):
    """Many changes of one long value."""

    def test_changes_that_are_more_than_an_answer_holds_are_told_apart(self):
        """Guards against a watch that is behind for ever."""
        net = Network()
        store = KvStore(net)
        address = ("10.9.9.1", 1)
        net.servers[address] = Site(kv_face(store), reactor=net)
        kv = KvHttp(Client(net), address)
        revision = 0
        for _ in range(8):
            write = ensureDeferred(
                store.put_if("a", b"x" * VALUE_LIMIT, revision)
            )
            revision = write.result.revision
        results = []
        for work in (kv.changes("", 0, 0.0), kv.snapshot("")):
            ensureDeferred(work).addCallback(results.append)
            net.advance_by(1)
        self.assertEqual(Code.KV_ANSWER_TOO_LONG, results[0].code)
        self.assertEqual(revision, results[1].revision)


class HttpTest(KvContract, TestCase):
    """The real client against the stand-in's gateway."""

    run_tests_with = AsynchronousDeferredRunTest.make_factory(timeout=10)

    def test_contract(self):
        self.store = KvStore(reactor)
        port = reactor.listenTCP(
            0, Site(kv_face(self.store)), interface="127.0.0.1"
        )
        client = Client(reactor)
        self.kv = KvHttp(client, ("127.0.0.1", port.getHost().port))

        async def whole():
            try:
                await self.contract()
            finally:
                client.close()
                await port.stopListening()

        return ensureDeferred(whole())
