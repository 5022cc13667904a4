"""The gateway program: flags, settings, sockets, signals."""

import random
import sys
from collections.abc import Callable

from magnolialug import bootclock
from magnolialug.cmd.flagset import (
    COMMON,
    EXIT_BAD_INPUT,
    STDOUT,
    Flag,
    Group,
    parse,
)
from magnolialug.events import name_process, setup_logging
from magnolialug.logwriter import LogWriter
from magnolialug.platform.settings import Settings, read_settings
from magnolialug.result import Failure

__all__ = ["main"]

_GROUPS = (
    Group(
        "Gateway",
        (
            Flag(
                "settings",
                "str",
                "",
                "the platform's settings file; from MAGNOLIALUG_SETTINGS",
            ),
            Flag(
                "metrics_port",
                "int",
                0,
                "port for metrics and previews, 0 for none",
            ),
        ),
    ),
    COMMON,
)


def main() -> None:
    """Runs the program; see --help."""
    flags, _ = parse(
        "magnolialug-gateway", "serves callers on the platform", _GROUPS
    )
    log = setup_logging(flags.log_format, flags.log_level, STDOUT)
    settings = read_settings(flags.settings)
    if isinstance(settings, Failure):
        print(
            f"{settings.code.value} {settings.code.name}: {settings.field}:"
            f" {settings.reason} (value: {settings.value})",
            file=sys.stderr,
        )
        sys.exit(EXIT_BAD_INPUT)
    name_process(settings.vm)
    bootclock.install()
    sys.exit(_serve(settings, flags.settings, flags.metrics_port, log))


def _serve(
    settings: Settings,
    settings_path: str,
    metrics_port: int,
    log: LogWriter | None,
) -> int:
    """Runs the gateway; imports follow the choice of the reactor."""
    from twisted.internet import reactor

    from magnolialug.carrier.client import Client
    from magnolialug.cmd.runner import run_until_signal
    from magnolialug.entry.gateway import Gateway
    from magnolialug.entry.gatewaymetrics import GatewayMetrics
    from magnolialug.entry.readiness import ready_factory, text_factory
    from magnolialug.metrics import as_text
    from magnolialug.platform.cachecalls import CacheCalls
    from magnolialug.platform.enginecalls import EngineCalls
    from magnolialug.platform.kvhttp import KvHttp
    from magnolialug.preview.page import PREVIEW_PATH, preview_page

    client = Client(reactor)
    metrics = GatewayMetrics()

    def counted(call: str, outcome: str, received: int) -> None:
        metrics.kv_calls.add(1, {"call": call, "outcome": outcome})
        metrics.kv_bytes.add(received, {"call": call})

    gateway = Gateway(
        settings,
        reactor,
        KvHttp(client, settings.store.address, counted=counted),
        random.Random(),
        metrics,
        EngineCalls(client),
        CacheCalls(client),
    )

    def gave_way(listener: str) -> Callable[[], None]:
        return lambda: gateway.record_full_listener(listener)

    async def start():
        gateway.start()
        host, port = settings.host, settings.internal_port
        ports = [
            reactor.listenUDP(port, gateway.messenger, interface=host),
            _listen(reactor, settings.callers, gateway.factory),
            _listen(
                reactor,
                settings.ready,
                ready_factory(
                    gateway.ready, gateway.failing, gave_way("ready")
                ),
            ),
        ]
        if metrics_port:
            factory = text_factory(
                lambda: as_text(metrics.snapshot()),
                {PREVIEW_PATH: preview_page(gateway.previewer.explain)},
                gave_way("metrics"),
            )
            address = (settings.host, metrics_port)
            ports.append(_listen(reactor, address, factory))

        async def stop() -> int:
            left = await gateway.stop()
            for port in ports:
                await port.stopListening()
            return left

        return stop

    def reload() -> None:
        gateway.reload(read_settings(settings_path))

    return run_until_signal(start, reload, log, metrics.lines_dropped.add)


def _listen(reactor, address: tuple[str, int], factory):
    host, port = address
    return reactor.listenTCP(port, factory, backlog=512, interface=host)
