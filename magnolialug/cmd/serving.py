"""Wiring that the programs share: sockets, signals, sources."""

import random
import sys
from collections.abc import Callable

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from magnolialug.cmd.flagset import EXIT_BAD_INPUT, Flag, Group
from magnolialug.config.current import Current, make_doc
from magnolialug.config.deployment import Deployment, to_text
from magnolialug.config.folder import read_folder
from magnolialug.confload import Source, from_kv, load_highest
from magnolialug.platform.enginehttp import EngineHttp, PlainHttp
from magnolialug.platform.http import HttpClient
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.platform.storehttp import StoreHttp
from magnolialug.policy.memorybudget import DEFAULT_MEMORY_MB
from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar.engine import Engine
from magnolialug.wire.connect import CONNECT_S, connect_link
from magnolialug.wire.link import Link
from magnolialug.wire.queries import query_config

__all__ = [
    "MEMORY",
    "SOURCE",
    "connector",
    "engine_for",
    "link_factory",
    "load_current",
    "split_address",
    "stores_for",
]

MEMORY = Flag(
    "memory_mb",
    "float",
    DEFAULT_MEMORY_MB,
    "memory of the machine, for this process, in MB",
)

SOURCE = Group(
    "Configuration",
    (
        Flag("kv_url", "str", "", "URL of the platform's key-value service"),
        Flag(
            "config_dir",
            "str",
            "",
            "folder to read in place of what the service holds",
        ),
        Flag("peers", "str", "", "host:port of some sidecars, to ask too"),
    ),
)


def split_address(flag: str, text: str) -> tuple[str, int]:
    """Returns host and port of "host:port".

    Raises:
      SystemExit: with EXIT_BAD_INPUT if the text is no address.
    """
    host, _, port = text.rpartition(":")
    if host and port.isdecimal():
        return host, int(port)
    code = Code.BAD_CONFIG_VALUE
    print(
        f"{code.value} {code.name}: --{flag}: must be host:port"
        f" (value: {text})",
        file=sys.stderr,
    )
    raise SystemExit(EXIT_BAD_INPUT)


def connector(reactor, current: Current) -> Callable[[str], Deferred]:
    """Returns a function that opens a link to a configured endpoint."""

    def connect(endpoint: str) -> Deferred:
        spec = current.deployment.endpoints[endpoint]
        return connect_link(reactor, spec.host, spec.port)

    return connect


def link_factory(reactor, accept: Callable[[Link], None]) -> Factory:
    """Returns the factory of a sidecar's incoming links."""

    def build() -> Link:
        link = Link(reactor)
        accept(link)
        return link

    return Factory.forProtocol(build)


def engine_for(
    http: HttpClient, deployment: Deployment, endpoint: str
) -> Engine:
    """Returns the client of an endpoint."""
    spec = deployment.endpoints[endpoint]
    if deployment.services[spec.service].type == "model":
        return EngineHttp(http, spec.target)
    return PlainHttp(http, spec.target)


def stores_for(http: HttpClient, deployment: Deployment) -> dict:
    """Returns the clients of all stores."""
    return {
        name: StoreHttp(http, store.url)
        for name, store in deployment.stores.items()
    }


async def load_current(
    kv: KvHttp, folder: str, peers: str, current: Current
) -> Failure | None:
    """Puts a folder, or the newest that KV and peers have, in force."""
    if folder:
        read = read_folder(folder)
        if not isinstance(read, list):
            return current.offer(make_doc(1, to_text(read)))
        for problem in read:
            print(problem, file=sys.stderr)
        return failed(Code.BAD_CONFIG_VALUE, field=folder)
    sources = [from_kv(kv), *map(_peer, filter(None, peers.split(",")))]
    return await load_highest(
        sources, current, default_reactor, random.Random()
    )


def _peer(address: str) -> Source:
    host, port = split_address("peers", address)

    async def ask():
        return await query_config(
            lambda: connect_link(default_reactor, host, port),
            default_reactor,
            CONNECT_S,
        )

    return ask
