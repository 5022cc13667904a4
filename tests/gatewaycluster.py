"""A gateway between callers and stand-ins, on a virtual clock."""

from random import Random

import msgspec
from loguru import logger
from twisted.internet.defer import ensureDeferred
from twisted.web.server import Site

from magnolialug.carrier.client import Client
from magnolialug.entry.gateway import Gateway
from magnolialug.entry.gatewaymetrics import GatewayMetrics
from magnolialug.platform.cachecalls import CacheCalls
from magnolialug.platform.enginecalls import EngineCalls
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.platform.settings import Bounds, Settings, StoreRates
from magnolialug.standin.caller import Caller, request
from magnolialug.standin.endpoint import EndpointStandin
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.standin.modelserver import ModelServerStandin
from magnolialug.standin.operatorconfig import (
    ENGINES,
    LIMITS,
    cache_store,
    route,
)
from magnolialug.standin.partstore import PartStoreStandin
from tests.network import Network

logger.remove()

GATEWAY = ("10.0.0.1", 80)
BOUNDS = Bounds(
    drain_s=2.0,
    grace_s=8.0,
    config_s=2.0,
    retry_ratio=0.2,
    retry_extra=54,
    retry_window_s=10,
    lease_s=3.0,
    thaw_s=0.3,
    weights_s=12.0,
)


def settings(vm="front-1", host="10.0.0.1"):
    """Returns the settings of one gateway."""
    return Settings(
        vm=vm,
        zone="a",
        region="r",
        host=host,
        zones={"a": "r", "b": "r"},
        callers=(host, 80),
        ready=(host, 81),
        first_start=True,
        internal_port=7000,
        heartbeat_s=1.2,
        bounds=BOUNDS,
        store=StoreRates(("10.9.9.9", 1), 2000, 400, 1.0),
    )


def config(version=1, **more):
    """Returns an operator's configuration."""
    base = {
        "version": version,
        "routes": [
            route("read", "/read/", "desk"),
            route("book", "/book/", "desk", routeType="non_idempotent"),
            route(
                "draft",
                "/draft/",
                "llm",
                routeType="streaming",
                sessionAffinity=True,
                maxAttempts=1,
                timeoutMs=15000,
            ),
            route(
                "check",
                "/check/",
                "llm",
                routeType="streaming",
                sessionAffinity=True,
                resumable=True,
            ),
            route("open", "/open/", "desk", public=True),
        ],
        "services": [
            {"name": "desk", "maxConnections": 40},
            ENGINES,
        ],
        "limits": LIMITS,
        "tenants": [
            {"name": "team-a", "apiKeys": ["key-a"], "priority": 0},
            {
                "name": "team-b",
                "apiKeys": ["key-b"],
                "priority": 1,
                "isolated": True,
            },
        ],
    }
    return {**base, **more}


class GatewayCluster:
    """A gateway, its key-value service and some endpoints."""

    def __init__(self, desks=2, engines=2, operator=None, vms=("front-1",)):
        self.net = Network()
        self.kv = KvStore(self.net)
        self.desks = {}
        self.engines = {}
        self._numbers = iter(range(1, 1000))
        self._ids = iter(range(1, 100000))
        for _ in range(desks):
            self.add_desk()
        for _ in range(engines):
            self.add_engine()
        self.configure(operator or config())
        self.gateways = [self.start(vm, n) for n, vm in enumerate(vms, 1)]
        self.gateway = self.gateways[0]
        self.pass_time(0.3)

    def start(self, vm, number, kv=None):
        """Starts a gateway."""
        host = f"10.0.0.{number}"
        gateway = Gateway(
            settings(vm, host),
            self.net,
            kv or self.kv,
            Random(number),
            GatewayMetrics(),
            EngineCalls(Client(self.net)),
            CacheCalls(Client(self.net)),
        )
        gateway.start()
        self.net.servers[(host, 80)] = gateway.factory
        self.net.listenUDP(7000, gateway.messenger, interface=host)
        return gateway

    def start_behind(self, path, vm, number):
        """Starts a gateway whose path to the service can be cut."""
        site = Site(kv_face(self.kv), reactor=self.net)
        self.net.servers[path] = site
        return self.start(vm, number, KvHttp(Client(self.net), path))

    def configure(self, operator):
        """Writes the operator's configuration."""
        self.write("op/config", operator)

    def write(self, key, value):
        """Writes a key as the operator or an endpoint does."""
        found = self.kv._rows.get(key)
        revision = found.revision if found else 0
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        ensureDeferred(self.kv.put_if(key, data, revision))

    def remove(self, key):
        """Removes a key."""
        self.kv._remove(key)

    def add_desk(self, zone="a"):
        """Adds a plain endpoint."""
        number = next(self._numbers)
        desk = EndpointStandin(self.net, f"i-desk{number}")
        self.desks[desk.instance] = desk
        self._list(desk, number, "desk", zone, [])
        return desk

    def add_engine(self, zone="a", software="v1", service="llm"):
        """Adds a model engine."""
        number = next(self._numbers)
        engine = ModelServerStandin(self.net, f"i-llm{number}")
        self.engines[engine.instance] = engine
        models = [{"name": "m", "version": 1}]
        self._list(engine, number, service, zone, models, software)
        return engine

    def add_store(self, name="cache", capacity=1_000_000, version=2):
        """Adds a store of cache parts to the configuration."""
        number = next(self._numbers)
        store = PartStoreStandin(self.net, f"i-store{number}", capacity)
        store.address = (f"10.2.0.{number}", 8746)
        self.net.servers[store.address] = store
        address = f"{store.address[0]}:8746"
        row = cache_store(name, address, capacity)
        services = [*config()["services"], row]
        self.configure(config(version, services=services))
        for engine in self.engines.values():
            engine.stores[address] = store
        self.pass_time(5.5)
        return store

    def _list(self, endpoint, number, service, zone, models, software="v1"):
        endpoint.address = (f"10.1.0.{number}", 8080)
        self.net.servers[endpoint.address] = endpoint
        endpoint.row = {
            "service": service,
            "address": f"{endpoint.address[0]}:8080",
            "zone": zone,
            "version": software,
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "models": models,
        }
        self.write(f"servers/{endpoint.instance}", endpoint.row)

    def relist(self, endpoint, **changes):
        """Changes an endpoint's registry entry."""
        endpoint.row.update(changes)
        self.write(f"servers/{endpoint.instance}", endpoint.row)

    def start_again(self, endpoint, born_ms, told=True):
        """Starts an endpoint again under its id, and lists it if told."""
        endpoint.start_again(born_ms)
        if told:
            self.relist(endpoint, born=born_ms)

    def caller(self, address=GATEWAY):
        """Returns a connected client."""
        caller = Caller(self.net)
        caller.pipe = self.net.connect(caller, address)
        return caller

    def send(self, path, caller=None, **options):
        """Sends a request; returns its caller, with `request_id` set."""
        caller = caller or self.caller()
        request_id = options.pop("request_id", f"{next(self._ids):x}")
        caller.request_id = request_id
        caller.pipe.write(request(path, request_id, **options))
        return caller

    def ask(self, path, seconds=1.0, **options):
        """Sends a request and lets time pass; returns its caller."""
        caller = self.send(path, **options)
        self.pass_time(seconds)
        return caller

    def pass_time(self, seconds):
        """Lets time pass."""
        self.net.advance_by(seconds)

    def endpoints(self):
        """Returns all endpoints."""
        return [*self.desks.values(), *self.engines.values()]

    def ran(self, request_id):
        """Returns how often a request was run, over all endpoints."""
        return sum(e.ran[request_id] for e in self.endpoints())

    def seen(self):
        """Returns all requests of callers that reached an endpoint."""
        return [
            req
            for endpoint in self.endpoints()
            for req in endpoint.seen
            if req.request_id
        ]
