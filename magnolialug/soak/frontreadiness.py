"""Asks machines whether they are ready, as their balancer does."""

from collections.abc import Iterable

from magnolialug.carrier.client import Client, Reply, request_bytes
from magnolialug.soak.block import Block
from magnolialug.soak.clients import Front

__all__ = ["READY_INTERVAL_S", "ask_fronts"]

READY_INTERVAL_S = 0.5


def ask_fronts(asker: Client, block: Block, fronts: Iterable[Front]) -> None:
    """Updates whether each machine is ready, when it has answered."""

    def heard(reply, front: Front) -> None:
        front.ready = isinstance(reply, Reply) and reply.status == 200

    for front in fronts:
        address = block.ready(front.machine.number)
        ask = request_bytes("GET", address[0], "/readyz")
        fut = asker.ask(address, ask, READY_INTERVAL_S)
        fut.addCallback(heard, front)
