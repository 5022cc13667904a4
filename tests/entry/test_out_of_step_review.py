"""Further plays of streams that are taken up at a gateway out of step."""

import itertools

import msgspec
from testtools import TestCase
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import Clock

from magnolialug.entry.watchclient import WatchClient
from magnolialug.platform.kv import Changes
from magnolialug.standin.kv import KvStore
from magnolialug.standin.modelserver import ModelServerStandin
from magnolialug.standin.operatorconfig import ENGINES, route
from magnolialug.streamorigins.messages import OriginReply
from magnolialug.watchsubscriber import WatchSubscriber
from tests.entry.test_out_of_step import Release, refusal_code
from tests.entry.test_software_versions import (
    LIFETIME_S,
    VMS,
    add_engine,
    address_of,
    beginner,
    cluster_of,
    ids_in,
    versions_in,
)
from tests.gatewaycluster import GatewayCluster, config


def begin(cluster, address, events=2, **options):
    """Returns the caller of a stream whose connection breaks midway."""
    for engine in cluster.engines.values():
        engine.gap_s = 0.05
    caller = cluster.caller(address)
    cluster.send("/check/x", caller=caller, **options)
    while not caller.answers or len(ids_in(caller.last)) < events:
        cluster.pass_time(0.005)
    caller.pipe.abortConnection()
    return caller


def resume(cluster, request_id, address, seconds=1.0, **options):
    """Returns the caller that takes a stream up after two events."""
    headers = ("Last-Event-Id: 2", f"Resumes: {request_id}")
    return cluster.ask(
        "/check/x",
        seconds,
        caller=cluster.caller(address),
        headers=headers,
        **options,
    )


def kill(cluster, engine):
    """Ends an engine; its registry entry goes with it."""
    cluster.remove(f"servers/{engine.instance}")
    del cluster.net.servers[engine.address]
    for conn in list(engine.open):
        conn.transport.abortConnection()


class LateWatch:
    """A key-value service whose answers to watches get lost."""

    def __init__(self, kv):
        self._kv = kv
        self.is_late = False

    def __getattr__(self, name):
        return getattr(self._kv, name)

    async def changes(self, prefix, after, wait_s, *rest):
        """Answers calls that do not wait for a change."""
        found = await self._kv.changes(prefix, after, wait_s, *rest)
        if self.is_late and wait_s > 0:
            await Deferred()
        return found


class DeadlineTest(TestCase):
    """A return waits for a read of the registry, longer than it can."""

    def returns(self, path, datagrams, deadline_ms):
        """Returns the cluster, the caller and when it has returned."""
        release = Release(path, datagrams)
        cluster = release.cluster
        cluster.pass_time(0.2)
        first = release.begin()
        at = cluster.net.seconds()
        address = (release.hosts[-1], 80)
        caller = resume(
            cluster, first.request_id, address, deadline_ms=deadline_ms
        )
        return cluster, caller, at

    def test_return_is_not_handed_on_after_its_deadline(self):
        """Guards against a run that begins when its caller has given up."""
        for deadline_ms in (200, 250):
            cluster, caller, _ = self.returns("silent", "whole", deadline_ms)
            self.assertEqual(0, cluster.ran(caller.request_id), deadline_ms)

    def test_return_is_refused_by_its_deadline(self):
        """Guards against a read that outlasts the caller who waits for it."""
        for path, datagrams, deadline_ms in itertools.product(
            ("dark", "silent"), ("lost", "whole"), (200, 400)
        ):
            _, caller, at = self.returns(path, datagrams, deadline_ms)
            case = (path, datagrams, deadline_ms)
            took_s = caller.last.at - at
            self.assertLessEqual(took_s, deadline_ms / 1000 + 0.05, case)


class RestartInPlaceTest(TestCase):
    """An engine starts again under its id and address as another version."""

    def replaced(self, cluster, engine, told_after_s):
        """Starts an engine again as v2; the registry tells it later."""
        text = f"{engine.instance}/v2/%d".encode()
        engine.text = lambda req, number: text % number
        cluster.start_again(engine, 2, told=False)

        def tell():
            cluster.relist(engine, version="v2", born=2)

        cluster.net.callLater(told_after_s, tell)

    def cluster(self):
        """Returns a cluster whose third gateway can be cut off."""
        cluster = GatewayCluster(desks=0, engines=0, vms=VMS[:2])
        for _ in range(2):
            add_engine(cluster, "v1", "v1")
        for engine in cluster.engines.values():
            engine.born_ms = 1
            cluster.relist(engine, born=1)
        path = ("10.9.9.8", 3)
        cluster.start_behind(path, "front-3", 3)
        cluster.pass_time(LIFETIME_S + 2)
        return cluster, path

    def check(self, cluster, told_after_s, wait_s, case):
        """Checks a return while the other engine is replaced."""
        first = begin(cluster, address_of(VMS[0]))
        ended = beginner(cluster, first)
        (other,) = set(cluster.engines.values()) - {ended}
        self.replaced(cluster, other, told_after_s)
        kill(cluster, ended)
        cluster.pass_time(wait_s)
        caller = resume(cluster, first.request_id, address_of(VMS[2]))
        self.assertEqual({"v1"}, versions_in(first.last, caller.last), case)

    def test_stream_does_not_go_on_before_the_registry_tells(self):
        """Guards against a start that writes its entry a heartbeat later."""
        for wait_s in (0.01, 0.3, 1.0):
            cluster, _ = self.cluster()
            self.check(cluster, 1.2, wait_s, wait_s)

    def test_stream_does_not_go_on_at_a_gateway_cut_off(self):
        """Guards against a listed version that an old copy vouches for."""
        for how, wait_s in itertools.product(("dark", "silent"), (0.3, 0.6)):
            cluster, path = self.cluster()
            net = cluster.net
            (net.cut if how == "dark" else net.silence)(path)
            self.check(cluster, 0.0, wait_s, (how, wait_s))

    def test_start_of_unknown_version_is_not_called_gone(self):
        """Guards against a final refusal before the entry of a new start.

        Its report has told of the start, and its registry entry has not.
        """
        cluster = GatewayCluster(desks=0, engines=0, vms=VMS)
        for version in ("v1", "v2"):
            add_engine(cluster, version, version)
        for engine in cluster.engines.values():
            engine.born_ms = 1
            cluster.relist(engine, born=1)
        cluster.pass_time(2)
        first = begin(cluster, address_of(VMS[0]))
        engine = beginner(cluster, first)
        cluster.start_again(engine, 2, told=False)
        directory = cluster.gateways[2].directory
        directory.verify_start(directory.peers[engine.instance], 2)
        late = resume(cluster, first.request_id, address_of(VMS[2]), 0.3)
        cluster.relist(engine, born=2)
        cluster.pass_time(1)
        caller = resume(cluster, first.request_id, address_of(VMS[2]))
        self.assertEqual([3, 4], ids_in(caller.last))
        if late.last.status == 503:
            self.assertIn("retry-after", late.last.headers)

    def test_address_of_another_endpoint_takes_no_stream_over(self):
        """Guards against another engine at the address of one that ended."""
        for wait_s in (0.01, 0.3):
            cluster = cluster_of(("v1", "v1"))
            cluster.pass_time(LIFETIME_S)
            first = begin(cluster, address_of(VMS[0]))
            ended = beginner(cluster, first)
            (other,) = set(cluster.engines.values()) - {ended}
            for conn in list(other.open):
                conn.transport.abortConnection()
            new = ModelServerStandin(cluster.net, "i-new")
            new.text = lambda req, number: b"i-new/v2/%d" % number
            cluster.net.servers[other.address] = new
            kill(cluster, ended)
            cluster.pass_time(wait_s)
            caller = resume(cluster, first.request_id, address_of(VMS[2]))
            versions = versions_in(first.last, caller.last)
            self.assertEqual({"v1"}, versions, wait_s)
            self.assertEqual(0, new.ran[caller.request_id])


class IdUsedTwiceTest(TestCase):
    """A caller sends a request again under its id, at another gateway."""

    def test_own_origin_of_an_earlier_try_does_not_bind_the_later(self):
        """Guards against a gateway that knows the first of two streams only."""
        release = Release("dark", "lost")
        cluster = release.cluster
        late = (release.hosts[-1], 80)
        first = begin(cluster, late, 1, request_id="abc")
        self.assertEqual({"v1"}, versions_in(first.last))
        second = begin(cluster, address_of(VMS[0]), request_id="abc")
        self.assertEqual({"v2"}, versions_in(second.last))
        caller = resume(cluster, "abc", late)
        self.assertEqual({"v2"}, versions_in(second.last, caller.last))


class LateReturnTest(TestCase):
    """A caller takes a stream up when its origin has been forgotten."""

    def test_return_after_the_lifetime_goes_on_at_no_other_version(self):
        """Guards against a lifetime that the caller does not keep to."""
        cluster = cluster_of(("v1",))
        cluster.pass_time(LIFETIME_S)
        first = begin(cluster, address_of(VMS[0]))
        (old,) = cluster.engines
        add_engine(cluster, "v2", "v2")
        cluster.pass_time(0.3)
        cluster.remove(f"servers/{old}")
        cluster.pass_time(LIFETIME_S + 2)
        caller = resume(cluster, first.request_id, address_of(VMS[1]))
        self.assertEqual({"v1"}, versions_in(first.last, caller.last))


class OldConfigurationTest(TestCase):
    """A gateway's watch is late while reads of the registry succeed."""

    SERVICES = ("llm", "llm2")

    def configure(self, cluster, version, services):
        """Splits the route between some of the services."""
        split = [{"service": name, "weight": 1} for name in services]
        check = route(
            "check",
            "/check/",
            "",
            routeType="streaming",
            sessionAffinity=True,
            resumable=True,
            trafficSplit=split,
        )
        rows = [ENGINES, {**ENGINES, "name": "llm2"}]
        cluster.configure(config(version, routes=[check], services=rows))

    def test_service_of_a_newer_configuration_is_not_called_gone(self):
        """Guards against a read of the registry taken for the configuration."""
        for service in self.SERVICES:
            cluster = GatewayCluster(desks=0, engines=0, vms=VMS[:2])
            self.configure(cluster, 2, self.SERVICES)
            cluster.pass_time(1)
            for name in self.SERVICES:
                for _ in range(2):
                    add_engine(cluster, name, "v1", service=name)
            late = LateWatch(cluster.kv)
            cluster.start("front-3", 3, late)
            cluster.pass_time(2)
            late.is_late = True
            self.configure(cluster, 3, [service])
            cluster.pass_time(0.4)
            first = begin(cluster, address_of(VMS[0]))
            self.assertEqual({service}, versions_in(first.last))
            caller = resume(cluster, first.request_id, ("10.0.0.3", 80), 0.2)
            if caller.last.status == 503:
                self.assertIn("retry-after", caller.last.headers, service)


class RestoredServiceTest(TestCase):
    """The key-value service goes back to an earlier revision."""

    def test_answer_older_than_the_copy_confirms_nothing(self):
        """Guards against changes that bear revisions the copy has passed."""
        clock = Clock()
        kv = KvStore(clock)
        watch_client = WatchClient(
            kv, {"u/": WatchSubscriber()}, clock, None, 25.0, urgent=("u/",)
        )
        watch_client.start()
        self.addCleanup(watch_client.stop)
        ensureDeferred(kv.put_if("u/a", b"1", 0))
        clock.advance(1)
        self.assertEqual(1, watch_client.revision)

        async def changes(*call):
            return Changes((), 0)

        kv.changes = changes
        results = []
        ensureDeferred(watch_client.catch_up()).addCallback(results.append)
        self.assertNotEqual([None], results)


class LargeFleetTest(TestCase):
    """More gateways than a return asks."""

    def test_origin_that_an_unasked_gateway_knows_is_not_given_up(self):
        """Guards against a final refusal by those who happened to be asked."""
        vms = tuple(f"front-{number}" for number in range(1, 25))
        cluster = GatewayCluster(desks=0, engines=0, vms=vms)
        for version in ("v1", "v2"):
            add_engine(cluster, version, version)
        cluster.pass_time(LIFETIME_S + 2)
        net = cluster.net
        for number in range(1, 24):
            net.loses_datagram = lambda sender, receiver: True
            first = begin(cluster, ("10.0.0.24", 80))
            net.loses_datagram = lambda sender, receiver: False
            cluster.pass_time(0.1)
            address = (f"10.0.0.{number}", 80)
            caller = resume(cluster, first.request_id, address, 0.2)
            if caller.last.status == 503:
                self.assertEqual(320, refusal_code(caller.last))
                self.assertIn("retry-after", caller.last.headers, number)


class OlderReleaseTest(TestCase):
    """Gateways of two releases ask each other."""

    def test_reply_of_an_older_release_vouches_from_no_revision(self):
        """Guards against a reply that is believed for a field it lacks."""
        reply = msgspec.json.decode(
            b'["stream!", 7, null, false, 0.0, "v1"]', type=OriginReply
        )
        self.assertEqual(("v1", 0), (reply.only_version, reply.revision))
        cluster = cluster_of(("v1",))
        for gateway in cluster.gateways:
            self.assertLess(0, gateway.directory.software.known_from)
