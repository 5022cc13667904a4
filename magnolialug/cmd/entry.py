"""magnolialug-entry: callers' HTTP, admission, routing, streaming, retry."""

import random
import sys
import time

from twisted.internet import reactor
from twisted.internet.task import LoopingCall

from magnolialug.carrier.client import Client, parse_address
from magnolialug.cmd.flagset import COMMON, STDOUT, Flag, Group, parse
from magnolialug.cmd.runner import run_until_signal
from magnolialug.cmd.serving import (
    MEMORY,
    SOURCE,
    connector,
    load_current,
    split_address,
)
from magnolialug.config.current import Current
from magnolialug.entry.app import EntryApp
from magnolialug.entry.configwatch import ConfigWatch
from magnolialug.entry.intake import make_site
from magnolialug.entry.web import EntryResource
from magnolialug.events import name_process, setup_logging
from magnolialug.ids import EntryId, ZoneId
from magnolialug.platform.kvhttp import KvHttp
from magnolialug.result import Failure

__all__ = ["run"]

_TICK_S = 1.0

_GROUPS = (
    Group(
        "Entry",
        (
            Flag("listen", "str", "127.0.0.1:8080", "host:port for callers"),
            Flag("entry_id", "str", "entry-1", "name of this process"),
            Flag("zone", "str", "", "availability zone of this VM"),
            MEMORY,
        ),
    ),
    SOURCE,
    COMMON,
)


def run() -> None:
    """Runs the program; see --help."""
    flags, _ = parse(
        "magnolialug-entry", "serves callers on an entry VM", _GROUPS
    )
    log = setup_logging(flags.log_format, flags.log_level, STDOUT)
    name_process(flags.entry_id)
    host, port = split_address("listen", flags.listen)

    async def start():
        kv = KvHttp(Client(reactor), parse_address(flags.kv_url))
        current = Current()
        failure = await load_current(kv, flags.config_dir, flags.peers, current)
        if isinstance(failure, Failure):
            return failure
        app = EntryApp(
            EntryId(flags.entry_id),
            ZoneId(flags.zone),
            current,
            kv,
            reactor,
            random.Random(),
            connector(reactor, current),
        )
        watch = ConfigWatch(
            flags.entry_id, current, kv, reactor, random.Random(), time.time
        )
        app.start()
        if flags.kv_url:
            watch.start()
        site = make_site(
            EntryResource(app),
            lambda: current.deployment.limits,
            reactor,
            flags.memory_mb,
        )
        app.metrics.observe_memory(site.memory.budget)
        LoopingCall(site.tick).start(_TICK_S)
        listening = reactor.listenTCP(port, site, interface=host)

        async def stop() -> int:
            watch.stop()
            left = await app.stop()
            await listening.stopListening()
            return left

        return stop

    sys.exit(run_until_signal(start, log=log))
