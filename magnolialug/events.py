"""Numbered log events; the only way this package writes to its log."""

import enum
import sys

from loguru import logger
from twisted.logger import globalLogPublisher

from magnolialug.result import Failure

__all__ = ["EVENTS", "Event", "emit", "explain", "setup_logging"]


class Event(enum.Enum):
    """Every numbered event; the number never changes its meaning."""

    STARTED = 1000
    DRAINING = 1001
    STOPPED = 1002
    STOP_FORCED = 1003
    CONFIG_IN_FORCE = 1100
    CONFIG_REFUSED = 1101
    WEIGHTS_NAMED = 1102
    PLACED = 2000
    NOT_PLACED = 2001
    RETRIED = 2002
    REQUEST_DONE = 2003
    REQUEST_FAILED = 2004
    RESUMED = 2005
    CANCELLED = 2006
    CLAIM_MADE = 2100
    CLAIM_FOLLOWED = 2101
    CLAIM_MOVED = 2102
    CLAIM_UNCERTAIN = 2103
    ATTEMPT_REFUSED = 3000
    ATTEMPT_SEALED = 3001
    ATTEMPT_HANDED_OVER = 3002
    ATTEMPT_ENDED = 3003
    BLOCKS_IMPORTED = 3100
    BLOCKS_EXPORTED = 3101
    BLOCK_REJECTED = 3102
    BLOCK_EVICTED = 3103
    EXPORT_DECLINED = 3104
    IMPORT_DECLINED = 3105
    LINK_UP = 4000
    LINK_DOWN = 4001
    ENDPOINT_SUSPECTED = 4100
    ENDPOINT_LISTED = 4101
    ENDPOINT_LEAVING = 4102
    ENDPOINT_GONE = 4103
    ENTRY_REFUSED = 4104
    KV_LOST = 4200
    KV_BACK = 4201
    LEASE_WON = 4300
    LEASE_LOST = 4301
    LEASE_UNCERTAIN = 4302
    ORDER_GIVEN = 4310
    ORDER_ANSWERED = 4311
    WEIGHTS_TAKEN = 4312
    TASK_FAILED = 9000


EVENTS: dict[Event, str] = {
    Event.STARTED: "The process is ready.",
    Event.DRAINING: "The process takes no new work and finishes what it has.",
    Event.STOPPED: "The process has handed everything over and stops.",
    Event.STOP_FORCED: "The drain limit passed; what was left is listed.",
    Event.CONFIG_IN_FORCE: "A configuration version is in force here.",
    Event.CONFIG_REFUSED: "A configuration version was not applied.",
    Event.WEIGHTS_NAMED: "The operator wants a model to have a version.",
    Event.PLACED: "An endpoint was chosen; costs compared and the reason.",
    Event.NOT_PLACED: "No endpoint was chosen; the reason.",
    Event.RETRIED: "A request goes to another endpoint; the reason.",
    Event.REQUEST_DONE: "A whole answer was delivered.",
    Event.REQUEST_FAILED: "A request ended without a whole answer.",
    Event.RESUMED: "An answer goes on over a new connection.",
    Event.CANCELLED: "The caller left; the endpoint's work is stopped.",
    Event.CLAIM_MADE: "A non-idempotent request was claimed in the KV.",
    Event.CLAIM_FOLLOWED: "A duplicate follows an existing claim.",
    Event.CLAIM_MOVED: "A claim moved after its attempt was sealed unrun.",
    Event.CLAIM_UNCERTAIN: "A claim write had no answer and is read back.",
    Event.IMPORT_DECLINED: "Recomputing costs less than the link; both costs.",
    Event.ATTEMPT_REFUSED: "A sidecar refused an attempt as not run.",
    Event.ATTEMPT_SEALED: "A sidecar sealed an attempt it had never seen.",
    Event.ATTEMPT_HANDED_OVER: "A sidecar gave an attempt to its endpoint.",
    Event.ATTEMPT_ENDED: "An attempt's run ended.",
    Event.BLOCKS_IMPORTED: "Cache blocks were read from a store.",
    Event.BLOCKS_EXPORTED: "Cache blocks were written to a store.",
    Event.BLOCK_REJECTED: "A block was not used: missing, torn or foreign.",
    Event.BLOCK_EVICTED: "A block was removed to make room for a better one.",
    Event.EXPORT_DECLINED: "A block was not worth the room; values compared.",
    Event.LINK_UP: "A connection between two processes is ready.",
    Event.LINK_DOWN: "A connection between two processes ended.",
    Event.ENDPOINT_SUSPECTED: "An endpoint's heartbeats stopped.",
    Event.ENDPOINT_LISTED: "The registry lists an endpoint.",
    Event.ENDPOINT_LEAVING: "An endpoint gets no new work; it drains.",
    Event.ENDPOINT_GONE: "An endpoint is no longer listed.",
    Event.ENTRY_REFUSED: "A registry entry is malformed and not used.",
    Event.KV_LOST: "The key-value service does not answer.",
    Event.KV_BACK: "The key-value service answers.",
    Event.LEASE_WON: "This process gives the orders to engines from now on.",
    Event.LEASE_LOST: "This process gives no more orders.",
    Event.LEASE_UNCERTAIN: "A renewal had no answer; the lease runs on.",
    Event.ORDER_GIVEN: "An engine was told to take weights.",
    Event.ORDER_ANSWERED: "What an engine said to an order, or nothing.",
    Event.WEIGHTS_TAKEN: "An engine has the weights that were named.",
    Event.TASK_FAILED: "A task ended with an unexpected exception.",
}

_TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level.name[0]} {message} {extra}"


def emit(event: Event, **fields: object) -> None:
    """Logs one event; callers pass ids and figures, never prompts or keys."""
    logger.bind(event=event.value, **fields).info(event.name)


def explain(failure: Failure) -> dict[str, object]:
    """Returns a failure's loggable fields, without the caller's value."""
    return {
        "code": failure.code.value,
        "code_name": failure.code.name,
        "reason": failure.reason,
        "executed": failure.executed.value,
    }


def setup_logging(form: str, level: str) -> None:
    """Sends events to standard error.

    Args:
      form: "json" or "text".
      level: a loguru level name.
    """
    logger.remove()
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=_TEXT_FORMAT)
    globalLogPublisher.addObserver(_task_failed)


def _task_failed(record: dict) -> None:
    """Logs what the reactor caught, which would otherwise go unseen."""
    failure = record.get("log_failure")
    if failure is not None:
        logger.bind(event=Event.TASK_FAILED.value).error(
            "{}\n{}", Event.TASK_FAILED.name, failure.getTraceback()
        )
