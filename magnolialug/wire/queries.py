"""Queries to one process, each over a connection of its own."""

from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from magnolialug.result import Code, Failure, failed
from magnolialug.silencetimer import SilenceTimer
from magnolialug.timing import TIMED_OUT, within
from magnolialug.wire.link import Link
from magnolialug.wire.messages import ConfigDoc, ConfigWant, Ping, Status

__all__ = ["query_config", "query_status"]

Connect = Callable[[], Deferred]


async def query_status(
    connect: Connect, clock: IReactorTime, timeout_s: float
) -> Status | Failure:
    """Returns a sidecar's status."""
    return await _ask(connect, clock, timeout_s, [Ping(0)])


async def query_config(
    connect: Connect, clock: IReactorTime, timeout_s: float
) -> ConfigDoc | Failure:
    """Returns a sidecar's current configuration.

    The sidecar replies to the ConfigWant only if it has a configuration. It
    always replies to the Ping that follows, so a sidecar without one is
    detected without a time-out.
    """
    answer = await _ask(connect, clock, timeout_s, [ConfigWant(0), Ping(0)])
    if isinstance(answer, Status):
        return failed(Code.CONFIG_MISSING, "the peer has no configuration")
    return answer


async def _ask(
    connect: Connect, clock: IReactorTime, timeout_s: float, messages: list
) -> Status | ConfigDoc | Failure:
    """Returns the first reply.

    Args:
      timeout_s: the longest time until there is a connection, and then between
        two pieces of the reply.
    """
    try:
        link = await within(clock, timeout_s, connect())
    except Exception as exc:  # noqa: BLE001 - any reason is reported
        return failed(Code.CONNECTION_REFUSED, str(exc))
    if link is TIMED_OUT:
        return failed(
            Code.CONNECTION_SILENT, f"no connection within {timeout_s} s"
        )
    return await _exchange(link, clock, timeout_s, messages)


async def _exchange(
    link: Link, clock: IReactorTime, timeout_s: float, messages: list
) -> Status | ConfigDoc | Failure:
    answer: Deferred = Deferred()

    def settle(result: object) -> None:
        if not answer.called:
            answer.callback(result)

    def received(message: object) -> None:
        if isinstance(message, Status | ConfigDoc):
            settle(message)

    def silent() -> None:
        settle(failed(Code.CONNECTION_SILENT, f"no reply for {timeout_s} s"))

    link.on_message = received
    link.on_down = settle
    # The peer closes a link on which it receives nothing, even while its reply
    # is in transit.
    link.heartbeat = lambda: Ping(0)
    started_at = clock.seconds()
    silence = SilenceTimer(
        clock,
        lambda: max(started_at, link.last_received_at) + timeout_s,
        silent,
    )
    silence.check()
    for message in messages:
        link.send(message)
    try:
        return await answer
    finally:
        silence.cancel()
        link.close()
