"""A request under which endpoints end, and which comes again."""

from random import Random

from testtools import TestCase

from tests.gatewaycluster import GatewayCluster

VMS = ("front-1", "front-2", "front-3", "front-4")
HARMFUL = b"ends whoever begins it"
# An endpoint begins what it got after this long, and ends.
BEGINS_S = 0.1
# A new start is listed this much later, at the same address.
BACK_S = 2.5
# What the platform allows: after a request has ended three endpoints, and this
# long after the third, it may be sent to endpoints three times more.
ENDED = 3
TOLD_S = 3.0
SENT_AFTER = 3


class Ward:
    """A cluster whose endpoints end when they begin a harmful request.

    Attributes:
      sent: when and where a harmful request arrived at an endpoint.
      ended: when and which endpoints ended under one.
    """

    def __init__(self, desks=0, engines=6, vms=VMS):
        self.cluster = GatewayCluster(desks, engines, vms=vms)
        self.random = Random(1)
        self.sent = []
        self.ended = []
        self.harmful = {HARMFUL}
        for endpoint in self.cluster.endpoints():
            self.watch(endpoint)

    @property
    def now(self):
        """The time."""
        return self.cluster.net.seconds()

    def watch(self, endpoint):
        """Lets an endpoint end under harmful requests."""

        def arrived(req):
            if req.body in self.harmful:
                self.sent.append((self.now, endpoint.instance))
                self.cluster.net.callLater(BEGINS_S, begun, req)

        def begun(req):
            if any(conn.current is req for conn in endpoint.open):
                self.end(endpoint)

        endpoint.on_arrival = arrived

    def end(self, endpoint):
        """Ends an endpoint; a successor takes its address later."""
        self.ended.append((self.now, endpoint.instance))
        net = self.cluster.net
        del net.servers[endpoint.address]
        for conn in list(endpoint.open):
            conn.current = None
            conn.transport.loseConnection()
        net.callLater(BACK_S, self.start_again, endpoint)

    def start_again(self, endpoint):
        """Starts an endpoint under a new id, at the same address."""
        cluster = self.cluster
        kind = cluster.engines if endpoint.row["models"] else cluster.desks
        add = cluster.add_engine if kind is cluster.engines else cluster.add_desk
        successor = add()
        del cluster.net.servers[successor.address]
        successor.address = endpoint.address
        cluster.net.servers[endpoint.address] = successor
        address = f"{endpoint.address[0]}:{endpoint.address[1]}"
        cluster.relist(successor, address=address)
        cluster.remove(f"servers/{endpoint.instance}")
        self.watch(successor)

    def comes(self, path, seconds, every_s, body=HARMFUL, vms=len(VMS)):
        """Sends a request again and again, each time to some gateway."""
        until = self.now + seconds
        while self.now < until:
            number = 1 + self.random.randrange(vms)
            caller = self.cluster.caller((f"10.0.0.{number}", 80))
            self.cluster.ask(path, every_s, caller=caller, body=body)

    def sent_late(self):
        """Returns what was sent long after the third endpoint had ended."""
        if len(self.ended) < ENDED:
            return []
        since = self.ended[ENDED - 1][0] + TOLD_S
        return [row for row in self.sent if row[0] > since]


class RepeatedTest(TestCase):
    """The same request comes again, at any gateway and under new ids."""

    def test_it_is_not_sent_on_once_three_endpoints_have_ended(self):
        """One request comes for twenty seconds and ends every engine.

        Symptom: all engines end one after the other, so do their successors,
        and whatever else is under way there ends with them. Sequence: a
        gateway places the request; the engine ends as it begins to run it;
        the gateway sends it to a second one; the caller asks again elsewhere
        under a new id. Cause: gateways knew requests by ids only, and nothing
        that an engine's end told outlived the request or left the gateway.
        Shown by line 2008: the same digest at every engine that ended.
        """
        for path, kinds in (
            ("/check/x", {"engines": 6}),
            ("/draft/x", {"engines": 6}),
            ("/read/x", {"desks": 6, "engines": 0}),
            ("/book/x", {"desks": 6, "engines": 0}),
        ):
            ward = Ward(**kinds)
            ward.comes(path, seconds=20, every_s=0.25)
            self.assertGreater(len(ward.ended), 0, path)
            self.assertLessEqual(len(ward.sent_late()), SENT_AFTER, path)
