"""A cluster whose endpoints crash under some requests."""

import enum
from random import Random

from tests.gatewaycluster import GatewayCluster

VMS = ("front-1", "front-2", "front-3", "front-4")
CRASHING_BODY = b"ends whoever begins it"
# The first output of a request comes this long after its arrival.
WORK_S = 0.11
# A crashed endpoint is registered again this much later at the same address.
RESTART_S = 2.5
# The platform's bound: after a request has crashed three endpoints, and this
# long after the third crash, it may be sent to endpoints three more times.
CRASH_LIMIT = 3
REACTION_S = 3.0
MAX_SENT_AFTER = 3


class CrashAt(enum.Enum):
    """When an endpoint crashes, in seconds after the request's arrival."""

    BEFORE_HEAD = WORK_S - 0.01
    AFTER_EVENT = WORK_S + 0.005


class CrashSetup:
    """A cluster whose endpoints crash when they start a crashing request.

    Attributes:
      sent: time and endpoint of each arrival of a crashing request.
      crashed: time and endpoint of each crash.
      crashing: the bodies of crashing requests.
      crashing_parts: the parts that make a request a crashing one, wherever
        in its prompt they are but last.
      crash_at: how far the answer gets before the crash.
    """

    def __init__(
        self, desks=0, engines=6, vms=VMS, crash_at=CrashAt.BEFORE_HEAD
    ):
        self.cluster = GatewayCluster(desks, engines, vms=vms)
        self.random = Random(1)
        self.sent = []
        self.crashed = []
        self.crashing = {CRASHING_BODY}
        self.crashing_parts = set()
        self.crash_at = crash_at
        for endpoint in self.cluster.endpoints():
            self.watch(endpoint)

    @property
    def now(self):
        """The current time in seconds."""
        return self.cluster.net.seconds()

    def watch(self, endpoint):
        """Makes an endpoint crash on crashing requests."""
        endpoint.work_s = WORK_S
        crash_after_s = self.crash_at.value

        def arrived(req):
            if self.is_crashing(req):
                self.sent.append((self.now, endpoint.instance))
                self.cluster.net.callLater(crash_after_s, started, req)

        def started(req):
            if any(conn.current is req for conn in endpoint.open):
                self.crash(endpoint)

        endpoint.on_arrival = arrived

    def is_crashing(self, req):
        """Whether a request crashes the endpoint that starts it."""
        rows = req.headers.get("x-prompt-prefix", "").split(",")
        shared = {row.partition(":")[0] for row in rows[:-1]}
        return req.body in self.crashing or shared & self.crashing_parts

    def crash(self, endpoint):
        """Crashes an endpoint; a successor takes over its address later."""
        if self.cluster.net.servers.get(endpoint.address) is not endpoint:
            return
        self.crashed.append((self.now, endpoint.instance))
        net = self.cluster.net
        del net.servers[endpoint.address]
        for conn in list(endpoint.open):
            conn.current = None
            conn.transport.loseConnection()
        net.callLater(RESTART_S, self.restart, endpoint)

    def restart(self, endpoint):
        """Starts an endpoint under a new id at the same address."""
        cluster = self.cluster
        engine = bool(endpoint.row["models"])
        successor = cluster.add_engine() if engine else cluster.add_desk()
        del cluster.net.servers[successor.address]
        successor.address = endpoint.address
        cluster.net.servers[endpoint.address] = successor
        address = f"{endpoint.address[0]}:{endpoint.address[1]}"
        cluster.relist(successor, address=address)
        cluster.remove(f"servers/{endpoint.instance}")
        self.watch(successor)

    def send_repeatedly(
        self, path, seconds, every_s, body=CRASHING_BODY, vms=4
    ):
        """Sends a request repeatedly, each time to a random gateway."""
        until = self.now + seconds
        while self.now < until:
            number = 1 + self.random.randrange(vms)
            caller = self.cluster.caller((f"10.0.0.{number}", 80))
            self.cluster.ask(path, every_s, caller=caller, body=body)

    def sent_after_limit(self):
        """Returns the arrivals later than REACTION_S after the third crash."""
        if len(self.crashed) < CRASH_LIMIT:
            return []
        since = self.crashed[CRASH_LIMIT - 1][0] + REACTION_S
        return [row for row in self.sent if row[0] > since]
