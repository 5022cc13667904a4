"""magnolialug-local: every role and the stand-ins in one process."""

import pathlib
import random
import sys
import time

import msgspec
from twisted.internet import reactor

from magnolialug.carrier.client import Client, parse_address
from magnolialug.cmd.demo import run_demo
from magnolialug.cmd.flagset import (
    COMMON,
    EXIT_BAD_INPUT,
    Flag,
    Group,
    parse,
)
from magnolialug.cmd.runner import run_until_signal
from magnolialug.cmd.serving import (
    connector,
    engine_for,
    link_factory,
    stores_for,
)
from magnolialug.config.current import Current, make_doc
from magnolialug.config.deployment import Deployment, to_text
from magnolialug.config.folder import read_folder
from magnolialug.confstore import apply_text
from magnolialug.entry.app import EntryApp
from magnolialug.entry.intake import make_site
from magnolialug.entry.web import EntryResource
from magnolialug.events import setup_logging
from magnolialug.ids import EndpointId, EntryId, ZoneId
from magnolialug.platform.http import HttpClient
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar.app import SidecarApp
from magnolialug.standin.platform import StandinPlatform
from magnolialug.wire.messages import ConfigDoc

__all__ = ["LocalDeployment", "run"]

_HOST = "127.0.0.1"
_ENTRIES = 2

_GROUPS = (
    Group(
        "Local",
        (
            Flag("examples", "str", "examples", "folder of deployments"),
            Flag("only", "str", "", "serve just this deployment"),
            Flag("port", "int", 0, "first port for callers; 0 for any free"),
            Flag(
                "standins",
                "bool",
                False,
                "run only the stand-ins, on the ports of the configuration",
            ),
            Flag("kv_port", "int", 0, "port of the KV stand-in; 0 for any"),
            Flag("demo", "bool", False, "serve one round trip, then stop"),
        ),
    ),
    COMMON,
)


class LocalDeployment:
    """One deployment's stand-ins, sidecars and entries on one reactor.

    Attributes:
      urls: of the entries.
    """

    def __init__(self, deployment: Deployment, first_port: int = 0):
        ephemeral = {
            name: msgspec.structs.replace(spec, target="")
            for name, spec in deployment.endpoints.items()
        }
        stores = {
            name: msgspec.structs.replace(spec, url="")
            for name, spec in deployment.stores.items()
        }
        self.platform = StandinPlatform(
            reactor,
            msgspec.structs.replace(
                deployment, endpoints=ephemeral, stores=stores
            ),
        )
        self.sidecars: dict[str, SidecarApp] = {}
        self.entries: list[EntryApp] = []
        self.urls: list[str] = []
        self._http = HttpClient(reactor, Code.STORE_UNAVAILABLE)
        self._listening: list = []
        self._first_port = first_port

    async def start(self) -> Failure | None:
        """Starts everything; the configuration goes through the KV."""
        deployment = self._listen(self.platform.deployment)
        kv = KvHttp(Client(reactor), parse_address(self.platform.kv_url))
        text = to_text(deployment)
        change = await apply_text(kv, text, 0, "local", "local", time.time)
        if isinstance(change, Failure):
            return change
        doc = make_doc(change.version, text)
        for name in deployment.endpoints:
            self._start_sidecar(name, doc)
        for number in range(_ENTRIES):
            self._start_entry(number, doc, kv)
        for app in self.entries:
            for upstream in app.fleet.upstreams.values():
                await upstream.wait_ready(5.0)
        return None

    async def stop(self) -> list:
        """Drains entries, then sidecars; returns what was left."""
        left = [await app.stop() for app in self.entries]
        left += [await app.stop() for app in self.sidecars.values()]
        for port in self._listening:
            await port.stopListening()
        await self.platform.stop()
        self._http.close()
        return [item for item in left if item]

    def _listen(self, deployment: Deployment) -> Deployment:
        """Listens for every sidecar and notes the ports."""
        endpoints = {}
        for name, spec in deployment.endpoints.items():
            factory = link_factory(
                reactor,
                lambda link, name=name: self.sidecars[name].accept(link),
            )
            port = reactor.listenTCP(0, factory, interface=_HOST)
            self._listening.append(port)
            endpoints[name] = msgspec.structs.replace(
                spec, host=_HOST, port=port.getHost().port
            )
        return msgspec.structs.replace(deployment, endpoints=endpoints)

    def _start_sidecar(self, name: str, doc: ConfigDoc) -> None:
        current = Current()
        current.offer(doc)
        app = SidecarApp(
            EndpointId(name),
            current,
            engine_for(self._http, current.deployment, name),
            stores_for(self._http, current.deployment),
            reactor,
            time.time,
        )
        app.start()
        self.sidecars[name] = app

    def _start_entry(self, number: int, doc, kv: KvHttp) -> None:
        current = Current()
        current.offer(doc)
        zones = sorted(current.deployment.zones)
        app = EntryApp(
            EntryId(f"entry-{number + 1}"),
            ZoneId(zones[number % len(zones)]),
            current,
            kv,
            reactor,
            random.Random(),
            connector(reactor, current),
        )
        app.start()
        site = make_site(
            EntryResource(app), lambda: current.deployment.limits, reactor
        )
        wanted = self._first_port + number if self._first_port else 0
        port = reactor.listenTCP(wanted, site, interface=_HOST)
        self._listening.append(port)
        self.entries.append(app)
        self.urls.append(f"http://{_HOST}:{port.getHost().port}")


def _folders(examples: str, only: str) -> list[pathlib.Path]:
    root = pathlib.Path(examples)
    folders = sorted(path for path in root.glob("*") if path.is_dir())
    return [path for path in folders if only in ("", path.name)]


def _read(folder: pathlib.Path) -> Deployment:
    read = read_folder(str(folder))
    if isinstance(read, list):
        for problem in read:
            print(problem, file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT)
    return read


def _print_usage(local: LocalDeployment) -> None:
    deployment = local.platform.deployment
    team = next(iter(deployment.teams))
    print(f"\n# {deployment.deployment.name}")
    model = next(iter(deployment.models))
    print(
        f"curl -N {local.urls[0]}/v1/completions"
        f" -H 'Authorization: Bearer demo-{team}'"
        f' -d \'{{"model": "{model}", "prompt": "Hello",'
        f' "max_tokens": 8, "stream": true}}\''
    )
    for name, service in deployment.services.items():
        for kind, spec in service.kinds.items():
            if not spec.idempotent:
                print(
                    f"curl {local.urls[-1]}/v1/services/{name}/{kind}"
                    f" -H 'Authorization: Bearer demo-{team}'"
                    f" -H 'Idempotency-Key: {kind}-1' -d '{{\"item\": 1}}'"
                )
    sys.stdout.flush()


def run() -> None:
    """Runs the program; see --help."""
    flags, _ = parse("magnolialug-local", "the whole path on a laptop", _GROUPS)
    level = flags.log_level
    setup_logging(flags.log_format, level)
    folders = _folders(flags.examples, flags.only)
    if not folders:
        print(f"no deployment in {flags.examples!r}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    if flags.demo:
        sys.exit(run_demo(LocalDeployment(_read(folders[-1]))))
    if flags.standins:
        sys.exit(run_until_signal(_standins(folders, flags.kv_port)))
    sys.exit(run_until_signal(_serve(folders, flags.port)))


def _standins(folders: list[pathlib.Path], kv_port: int):
    async def start():
        if len(folders) != 1:
            return failed(
                Code.BAD_CONFIG_REFERENCE, "name one with --only", "only"
            )
        platform = StandinPlatform(reactor, _read(folders[0]), kv_port)
        print(f"KV at {platform.kv_url}", flush=True)
        return platform.stop

    return start


def _serve(folders: list[pathlib.Path], first_port: int):
    async def start():
        locals_ = []
        for number, folder in enumerate(folders):
            port = first_port + number * _ENTRIES if first_port else 0
            local = LocalDeployment(_read(folder), port)
            failure = await local.start()
            if failure:
                return failure
            locals_.append(local)
            _print_usage(local)

        async def stop() -> list:
            return [left for local in locals_ for left in await local.stop()]

        return stop

    return start
