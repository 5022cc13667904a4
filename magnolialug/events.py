"""Numbered log events; the only way this package writes to its log."""

import atexit
import enum
import sys
import time

import msgspec
from loguru import logger
from twisted.logger import globalLogPublisher

from magnolialug.logwriter import LogWriter
from magnolialug.policy.loglimiter import Grade, LogLimiter
from magnolialug.result import Failure

__all__ = [
    "EVENTS",
    "Event",
    "emit",
    "explain",
    "grade_of",
    "name_process",
    "setup_logging",
    "take_line",
    "tell_dropped",
    "write_line",
]


class Event(enum.Enum):
    """Every numbered event; the number never changes its meaning."""

    STARTED = 1000
    DRAINING = 1001
    STOPPED = 1002
    STOP_FORCED = 1003
    RELOADED = 1004
    SETTINGS_REFUSED = 1005
    SATURATED = 1006
    UNSATURATED = 1007
    CALLER_MEMORY_FULL = 1008
    CALLER_MEMORY_FREE = 1009
    CONNECTIONS_FULL = 1010
    CONNECTIONS_FREE = 1011
    READS_DELAYED = 1012
    READS_CURRENT = 1013
    LISTENER_FULL = 1014
    PEER_GONE = 1015
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
    ANSWERED = 2008
    NOT_RETRIED = 2009
    REQUEST_QUARANTINED = 2010
    REQUEST_RELEASED = 2011
    QUARANTINE_UNWRITTEN = 2012
    STREAM_TAKEN_UP = 2013
    HEDGED = 2014
    RESPONSE_REFUSED = 2015
    END_UNPROVEN = 2016
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
    ENDPOINT_BACK = 4105
    ENDPOINT_REPLACED = 4106
    ENDPOINT_RESTARTED = 4107
    ENDPOINT_STALE = 4108
    ENDPOINT_CRASHED = 4109
    ZONE_EVACUATED = 4110
    ZONE_RETURNED = 4111
    EVACUATION_REFUSED = 4112
    ENDPOINT_COLD = 4113
    ENTRY_MISSING = 4114
    ENDPOINT_LIMITED = 4115
    ENDPOINT_UNLIMITED = 4116
    SEND_LIMIT_REFUSED = 4117
    NOTICE_REFUSED = 4118
    ENDPOINT_RESTING = 4120
    ENDPOINT_RESTED = 4121
    ENGINE_SLOW = 4130
    ENGINE_PACE_BACK = 4131
    START_LOST = 4135
    START_ANSWERS = 4136
    KV_LOST = 4200
    KV_BACK = 4201
    WATCH_STALE = 4202
    KV_ANSWER_SLOW = 4203
    REGISTRY_UNCONFIRMED = 4204
    STORE_HEARD = 4210
    STORE_LOST = 4211
    STORE_LISTED = 4212
    PARTS_FREED = 4213
    FREE_FAILED = 4214
    STORE_ROWS_REFUSED = 4215
    REPORT_REFUSED = 4220
    REGISTRATION_FAILED = 4221
    ENTRIES_COUNTED = 4222
    COUNT_UNWRITTEN = 4223
    REPORT_UNSENT = 4224
    LEASE_WON = 4300
    LEASE_LOST = 4301
    LEASE_UNCERTAIN = 4302
    ORDER_GIVEN = 4310
    ORDER_ANSWERED = 4311
    WEIGHTS_TAKEN = 4312
    TASK_FAILED = 9000
    LINES_DROPPED = 9001


EVENTS: dict[Event, str] = {
    Event.STARTED: "The process is ready.",
    Event.DRAINING: "The process takes no new work and finishes what it has.",
    Event.STOPPED: "The process has handed everything over and stops.",
    Event.STOP_FORCED: "The drain limit passed; what was left is listed.",
    Event.RELOADED: "The settings were read again.",
    Event.SETTINGS_REFUSED: "The settings are wrong; the old ones stay.",
    Event.SATURATED: "New connections are closed; other entries have room.",
    Event.UNSATURATED: "New connections are accepted again.",
    Event.CALLER_MEMORY_FULL: "Callers are refused or give way for memory.",
    Event.CALLER_MEMORY_FREE: "There is memory for callers again.",
    Event.CONNECTIONS_FULL: "New connections find no room; none can give way.",
    Event.CONNECTIONS_FREE: "New connections find room again.",
    Event.READS_DELAYED: "What callers send ahead or in pieces has to wait.",
    Event.READS_CURRENT: "What callers have sent is parsed at once again.",
    Event.LISTENER_FULL: "Connections for readiness or metrics give way.",
    Event.PEER_GONE: (
        "A connection is closed whose peer acknowledges nothing any more."
    ),
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
    Event.ANSWERED: "An attempt ended without a whole answer; how.",
    Event.NOT_RETRIED: "A request goes nowhere else; the reason.",
    Event.REQUEST_QUARANTINED: "A request is kept from endpoints.",
    Event.REQUEST_RELEASED: "A request is out of the quarantine.",
    Event.QUARANTINE_UNWRITTEN: "A quarantine was not written; retried.",
    Event.STREAM_TAKEN_UP: "A caller takes a stream up; what began it.",
    Event.HEDGED: "A request also goes to another endpoint; its own is silent.",
    Event.RESPONSE_REFUSED: "Bytes are no response, or have no end; why.",
    Event.END_UNPROVEN: "A stream ended by a close only; whether it is whole.",
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
    Event.ENDPOINT_SUSPECTED: "An endpoint says nothing; it gets no new work.",
    Event.ENDPOINT_LISTED: "The registry lists an endpoint.",
    Event.ENDPOINT_LEAVING: "An endpoint gets no new work; it drains.",
    Event.ENDPOINT_GONE: "An endpoint is no longer listed.",
    Event.ENDPOINT_BACK: "A silent endpoint has answered again.",
    Event.ENDPOINT_REPLACED: "Another endpoint has an endpoint's address.",
    Event.ENDPOINT_RESTARTED: "An endpoint started again under its id.",
    Event.ENDPOINT_STALE: "An entry of an endpoint that is gone; not used.",
    Event.ENDPOINT_CRASHED: "An endpoint has crashed; what it had in progress.",
    Event.ZONE_EVACUATED: "Nothing more is sent to a zone's endpoints.",
    Event.ZONE_RETURNED: "A zone's endpoints take new work again.",
    Event.EVACUATION_REFUSED: "An evacuation order was not obeyed.",
    Event.ENDPOINT_COLD: "An endpoint is cold; it gets little new work.",
    Event.ENDPOINT_LIMITED: "An endpoint has limited the requests it accepts.",
    Event.ENDPOINT_UNLIMITED: "An endpoint names no limit any more.",
    Event.SEND_LIMIT_REFUSED: "A limit is malformed; the last one stays.",
    Event.NOTICE_REFUSED: "What an endpoint says of itself is malformed.",
    Event.ENDPOINT_RESTING: "An endpoint wants no requests for some time.",
    Event.ENDPOINT_RESTED: "The rest that an endpoint asked for has ended.",
    Event.ENGINE_SLOW: "An engine is much slower than it usually is.",
    Event.ENGINE_PACE_BACK: "An engine is about as fast as usual again.",
    Event.START_LOST: "A start of an endpoint has ended; how that is known.",
    Event.START_ANSWERS: "A start answers that others reported as ended.",
    Event.ENTRY_MISSING: "An entry is removed; its endpoint is kept for now.",
    Event.ENTRY_REFUSED: "An entry of the key-value service is not used.",
    Event.KV_LOST: "The key-value service does not answer.",
    Event.KV_BACK: "The key-value service answers.",
    Event.WATCH_STALE: "A watch has missed a change, or cannot be checked.",
    Event.KV_ANSWER_SLOW: "An answer of the key-value service arrived slowly.",
    Event.REGISTRY_UNCONFIRMED: "The newest registry changes cannot be read.",
    Event.STORE_HEARD: "A store of cache parts answers.",
    Event.STORE_LOST: "A store of cache parts does not answer.",
    Event.STORE_LISTED: "A store told all the parts that it holds.",
    Event.PARTS_FREED: "Parts of replaced weights were freed.",
    Event.FREE_FAILED: "Replaced parts could not be freed; tried again later.",
    Event.STORE_ROWS_REFUSED: "Rows of a store's answer are malformed.",
    Event.REPORT_REFUSED: "Another entry's message is malformed.",
    Event.REGISTRATION_FAILED: "This entry could not register itself.",
    Event.ENTRIES_COUNTED: "Other entries than before share the work; why.",
    Event.COUNT_UNWRITTEN: "The number of entries was not stored; retried.",
    Event.REPORT_UNSENT: "A message to another entry cannot be sent.",
    Event.LEASE_WON: "This process gives the orders to engines from now on.",
    Event.LEASE_LOST: "This process gives no more orders.",
    Event.LEASE_UNCERTAIN: "A renewal had no answer; the lease runs on.",
    Event.ORDER_GIVEN: "An engine was told to take weights.",
    Event.ORDER_ANSWERED: "What an engine said to an order, or nothing.",
    Event.WEIGHTS_TAKEN: "An engine has the weights that were named.",
    Event.TASK_FAILED: "A task ended with an unexpected exception.",
    Event.LINES_DROPPED: "Log lines were left out; how many and why.",
}

# Lines that come with every request; all others are kept longest.
_DETAIL = frozenset(
    (
        Event.PLACED,
        Event.REQUEST_DONE,
        Event.CANCELLED,
        Event.ATTEMPT_HANDED_OVER,
        Event.ATTEMPT_ENDED,
        Event.BLOCKS_IMPORTED,
        Event.BLOCKS_EXPORTED,
        Event.EXPORT_DECLINED,
        Event.IMPORT_DECLINED,
    )
)
_TEXT_FORMAT = "{time:HH:mm:ss.SSS} {message}"

# The name that every line of this process bears.
_process = [""]
_encode = msgspec.json.Encoder(enc_hook=str).encode
_bounds = LogLimiter()
_to_log = logger.opt(depth=1)


def grade_of(event: Event) -> Grade:
    """Returns how dearly a line of an event is missed."""
    return Grade.DETAIL if event in _DETAIL else Grade.KEPT


def emit(event: Event, **fields: object) -> None:
    """Logs one event; callers pass ids and figures, never prompts or keys."""
    now = time.time()
    if _bounds.take(grade_of(event), now):
        write_line(event, now, fields)


def take_line(grade: Grade, now: float) -> bool:
    """Whether a line may be written now; counts it as dropped if not."""
    return _bounds.take(grade, now)


def write_line(event: Event, at: float, fields: dict[str, object]) -> None:
    """Writes one event's line; the caller has taken it from the bounds.

    Args:
      at: time of day in seconds.
    """
    line = {
        "at": round(at, 4),
        "vm": _process[0],
        "event": event.value,
        "name": event.name,
        **fields,
    }
    _to_log.info(_encode(line).decode())


def explain(failure: Failure) -> dict[str, object]:
    """Returns a failure's loggable fields, without the caller's value."""
    return {
        "code": failure.code.value,
        "code_name": failure.code.name,
        "reason": failure.reason,
        "executed": failure.executed.value,
    }


def name_process(vm: str) -> None:
    """Sets the name of the machine, which every line bears from now on."""
    _process[0] = vm


def setup_logging(
    form: str, level: str, fd: int | None = None
) -> LogWriter | None:
    """Sends events to a stream, or to standard error.

    Args:
      form: "json" or "text".
      level: a loguru level name.
      fd: a stream that is written without waiting for its reader.

    Returns:
      the writer of that stream; what it holds must be flushed from time to
      time.
    """
    logger.remove()
    text = "{message}" if form == "json" else _TEXT_FORMAT
    globalLogPublisher.addObserver(_task_failed)
    if fd is None:
        logger.add(sys.stderr, level=level, format=text)
        return None
    writer = LogWriter(fd)
    logger.add(writer.write, level=level, format=text, catch=False)
    atexit.register(writer.flush)
    return writer


def tell_dropped(writer: LogWriter) -> int:
    """Logs how many lines were left out since the last call; returns it."""
    lost, writer.lost = writer.lost, 0
    dropped = _bounds.take_dropped()
    if dropped or lost:
        emit(Event.LINES_DROPPED, over_bounds=dropped, not_read=lost)
    return dropped + lost


def _task_failed(record: dict) -> None:
    """Logs what the reactor caught, which would otherwise go unseen."""
    failure = record.get("log_failure")
    if failure is not None:
        emit(Event.TASK_FAILED, traceback=failure.getTraceback())
