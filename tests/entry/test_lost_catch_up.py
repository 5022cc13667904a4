"""A gateway that loses the answer to its first call after an outage.

The service ends its watches while the configuration changes. The call for the
missed changes is never answered, while renewals of a lease are.
"""

from random import Random

from testtools import TestCase
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import LoopingCall
from twisted.web.server import Site

from magnolialug.carrier.client import Client
from magnolialug.entry.watchclient import WatchClient
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.result import Code, failed
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.timing import sleep
from tests.entry.test_watch_client import RecordingSubscriber
from tests.gatewaycluster import BOUNDS
from tests.network import RunningNetwork

_PATH = ("10.9.9.1", 1)
_RENEWAL_S = 0.5
_LONG_BYTES = 100_000


class ForgetfulStore(KvStore):
    """Never answers the next page, or is slow, or resets a call."""

    loses_page = False
    resets_catch_up = False
    delay_s = 0.0

    async def changes(self, prefix, after, wait_s, *args):
        """Returns changes, or a reset."""
        if self.resets_catch_up and wait_s == 0:
            self.resets_catch_up = False
            return failed(Code.KV_TIMEOUT)
        if self.delay_s:
            await sleep(self.clock, self.delay_s)
        return await super().changes(prefix, after, wait_s, *args)

    async def page(self, *args):
        """Returns a page, or nothing ever."""
        if self.loses_page:
            self.loses_page = False
            await Deferred()
        return await super().page(*args)


class LostCatchUpTest(TestCase):
    """Guards against a version in force seconds late at one gateway."""

    def setUp(self):
        super().setUp()
        self.net = RunningNetwork()
        self.kv = ForgetfulStore(self.net)
        self.net.servers[_PATH] = Site(kv_face(self.kv), reactor=self.net)
        self.calls = KvHttp(Client(self.net), _PATH)
        self.seen = RecordingSubscriber(self.net)
        self.watch_client = WatchClient(
            self.calls,
            {"op/": self.seen},
            self.net,
            Random(1),
            25.0,
            urgent=("reg/",),
        )
        self.watch_client.start()
        self.addCleanup(self.watch_client.stop)
        self.net.advance_by(1)

    def change_in_an_outage(self):
        """Changes a key while watches end; returns when."""
        self.kv.faults.lose_catch_ups = 1
        ensureDeferred(self.kv.put_if("op/config", b"x", 0))
        self.kv.end_watches()
        return self.net.seconds()

    def test_a_lost_watch_and_a_lost_call_fit_into_the_bound(self):
        """Guards against waits in series that add up to more than the bound."""
        for number in range(8):
            self.net.advance_by(5 + number * 0.1)
            key = f"op/{number}"
            self.kv.faults.lose_catch_ups = 1
            self.kv.lose_watches()
            ensureDeferred(self.kv.put_if(key, b"x", 0))
            at = self.net.seconds()
            self.net.advance_by(6)
            self.assertLess(self.seen.at[key] - at, BOUNDS.config_s)

    def test_they_fit_into_the_bound_if_a_value_is_long(self):
        """Guards against a longer time-out of all calls for one long value."""
        ensureDeferred(self.kv.put_if("op/long", bytes(_LONG_BYTES), 0))
        for number in range(16):
            self.net.advance_by(5 + number * 0.1)
            key = f"op/{number}"
            self.kv.loses_page = number % 2 == 0
            self.kv.faults.lose_catch_ups = int(not self.kv.loses_page)
            self.kv.lose_watches()
            ensureDeferred(self.kv.put_if(key, b"x", 0))
            at = self.net.seconds()
            self.net.advance_by(6)
            self.assertLess(self.seen.at[key] - at, BOUNDS.config_s)
            self.assertFalse(self.kv.loses_page)
            self.assertEqual(0, self.kv.faults.lose_catch_ups)

    def test_a_call_that_is_reset_before_does_not_delay_it(self):
        """Guards against a longer time-out after a call that ended at once."""
        self.kv.resets_catch_up = True
        self.kv.faults.lose_catch_ups = 1
        self.kv.lose_watches()
        ensureDeferred(self.kv.put_if("op/config", b"x", 0))
        at = self.net.seconds()
        self.net.advance_by(6)
        self.assertLess(self.seen.at["op/config"] - at, BOUNDS.config_s)

    def test_a_slow_service_is_waited_for(self):
        """Guards against calls that are repeated until the service is fast."""
        self.kv.end_watches()
        self.kv.delay_s = 0.8
        ensureDeferred(self.kv.put_if("op/config", b"x", 0))
        self.net.advance_by(3)
        self.assertIn("op/config", self.seen.at)

    def renew_a_lease(self):
        """Renews a lease as the leader of rollouts does."""
        leases = []
        ensureDeferred(self.calls.grant(60)).addCallback(leases.append)
        self.net.advance_by(0.1)
        loop = LoopingCall(lambda: ensureDeferred(self.calls.keep(leases[0])))
        loop.clock = self.net
        loop.start(_RENEWAL_S)
        self.addCleanup(loop.stop)

    def test_a_change_is_seen_in_time_after_a_lost_call(self):
        at = self.change_in_an_outage()
        self.net.advance_by(6)
        self.assertLess(self.seen.at["op/config"] - at, BOUNDS.config_s)

    def test_renewals_of_a_lease_do_not_delay_it(self):
        """Guards against short answers that keep a lost call open."""
        self.renew_a_lease()
        at = self.change_in_an_outage()
        self.net.advance_by(6)
        self.assertLess(self.seen.at["op/config"] - at, BOUNDS.config_s)
