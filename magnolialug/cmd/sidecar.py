"""magnolialug-sidecar: the last gate before one endpoint."""

import sys
import time

from twisted.internet import reactor
from twisted.web.server import Site

from magnolialug.carrier.client import Client, parse_address
from magnolialug.cmd.flagset import COMMON, STDOUT, Flag, Group, parse
from magnolialug.cmd.runner import run_until_signal
from magnolialug.cmd.serving import (
    MEMORY,
    SOURCE,
    engine_for,
    link_factory,
    load_current,
    split_address,
    stores_for,
)
from magnolialug.config.current import Current
from magnolialug.events import setup_logging
from magnolialug.ids import EndpointId
from magnolialug.metrics import MetricsResource
from magnolialug.platform.http import HttpClient
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.result import Code, Failure, failed
from magnolialug.sidecar.app import SidecarApp

__all__ = ["run"]

_GROUPS = (
    Group(
        "Sidecar",
        (
            Flag("endpoint", "str", "", "name of the endpoint in the config"),
            Flag(
                "listen",
                "str",
                "",
                "host:port for entries; the endpoint's own if empty",
            ),
            MEMORY,
            Flag("metrics_listen", "str", "", "host:port for /metrics"),
        ),
    ),
    SOURCE,
    COMMON,
)


def run() -> None:
    """Runs the program; see --help."""
    flags, _ = parse(
        "magnolialug-sidecar", "guards one endpoint on its VM", _GROUPS
    )
    log = setup_logging(flags.log_format, flags.log_level, STDOUT)

    async def start():
        current = Current()
        kv = KvHttp(Client(reactor), parse_address(flags.kv_url))
        failure = await load_current(kv, flags.config_dir, flags.peers, current)
        if isinstance(failure, Failure):
            return failure
        deployment = current.deployment
        spec = deployment.endpoints.get(flags.endpoint)
        if spec is None:
            return failed(
                Code.BAD_CONFIG_REFERENCE,
                f"no endpoint {flags.endpoint!r} is configured",
                "endpoint",
            )
        http = HttpClient(reactor, Code.STORE_UNAVAILABLE)
        app = SidecarApp(
            EndpointId(flags.endpoint),
            current,
            engine_for(http, deployment, flags.endpoint),
            stores_for(http, deployment),
            reactor,
            time.time,
            memory_mb=flags.memory_mb,
        )
        host, port = spec.host, spec.port
        if flags.listen:
            host, port = split_address("listen", flags.listen)
        app.start()
        listening = reactor.listenTCP(
            port, link_factory(reactor, app.accept), interface=host
        )

        if flags.metrics_listen:
            host, port = split_address("metrics_listen", flags.metrics_listen)
            site = Site(MetricsResource(app.metrics))
            reactor.listenTCP(port, site, interface=host)

        async def stop() -> list[str]:
            left = await app.stop()
            await listening.stopListening()
            return left

        return stop

    sys.exit(run_until_signal(start, log=log))
