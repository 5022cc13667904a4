"""All stand-ins of one deployment, listening on loopback."""

import msgspec
from twisted.web.server import Site

from magnolialug.config.deployment import Deployment
from magnolialug.policy.storedblock import Tier
from magnolialug.standin.engine import EngineSpec, EngineStandin
from magnolialug.standin.engineface import engine_face
from magnolialug.standin.kv import KvStore
from magnolialug.standin.kvface import kv_face
from magnolialug.standin.plain import PlainStandin, plain_face
from magnolialug.standin.store import StoreSpec, StoreStandin, store_face

__all__ = ["StandinPlatform"]

_HOST = "127.0.0.1"


class StandinPlatform:
    """Stand-ins for what a deployment names.

    Attributes:
      deployment: as given, its URLs replaced by where the stand-ins listen.
      kv_url: where the key-value stand-in listens.
    """

    def __init__(self, reactor, deployment: Deployment, kv_port: int = 0):
        self.kv = KvStore(reactor)
        self.engines: dict[str, EngineStandin] = {}
        self.plains: dict[str, PlainStandin] = {}
        self.stores: dict[str, StoreStandin] = {}
        self._reactor = reactor
        self._ports: list = []
        self.kv_url = self._listen(kv_face(self.kv), kv_port)
        self.deployment = msgspec.structs.replace(
            deployment,
            endpoints=self._endpoints(deployment),
            stores=self._stores(deployment),
        )

    async def stop(self) -> None:
        """Stops listening."""
        for port in self._ports:
            await port.stopListening()

    def _endpoints(self, deployment: Deployment) -> dict:
        endpoints = {}
        for name, spec in deployment.endpoints.items():
            if deployment.services[spec.service].type == "model":
                engine = EngineStandin(
                    self._reactor,
                    EngineSpec(
                        prefill_rate=spec.prefill_rate,
                        cache_tokens=spec.cache_tokens,
                        checks_fence=spec.fencing,
                    ),
                )
                self.engines[name] = engine
                face = engine_face(engine)
            else:
                plain = PlainStandin(self._reactor)
                self.plains[name] = plain
                face = plain_face(plain)
            url = self._listen(face, _port_of(spec.target))
            endpoints[name] = msgspec.structs.replace(spec, target=url)
        return endpoints

    def _stores(self, deployment: Deployment) -> dict:
        stores = {}
        for name, spec in deployment.stores.items():
            store = StoreStandin(
                self._reactor,
                StoreSpec(
                    {
                        Tier.MEMORY: spec.memory_bytes,
                        Tier.DISK: spec.disk_bytes,
                    },
                    {Tier.MEMORY: spec.memory_rate, Tier.DISK: spec.disk_rate},
                ),
            )
            self.stores[name] = store
            url = self._listen(store_face(store), _port_of(spec.url))
            stores[name] = msgspec.structs.replace(spec, url=url)
        return stores

    def _listen(self, face, port: int) -> str:
        site = Site(face)
        site.log = lambda request: None
        listening = self._reactor.listenTCP(port, site, interface=_HOST)
        self._ports.append(listening)
        return f"http://{_HOST}:{listening.getHost().port}"


def _port_of(url: str) -> int:
    """Returns the port of a URL, 0 for any free one."""
    _, _, port = url.rpartition(":")
    return int(port) if port.isdecimal() else 0
