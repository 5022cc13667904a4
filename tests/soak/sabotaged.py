"""A gateway with a fault put in on purpose, which the soak must find."""

import sys

from magnolialug.carrier.reader import ResponseReader
from magnolialug.cmd import gateway
from magnolialug.entry import (
    candidatelist,
    costestimator,
    gatewayintake,
    retryloop,
)
from magnolialug.entry.directory import Directory
from magnolialug.entry.gateway import Gateway
from magnolialug.entry.gatewaychannel import GatewayChannel
from magnolialug.entry.gatewaysink import GatewaySink
from magnolialug.entry.httpattempt import HttpAttempt
from magnolialug.entry.registry import Registry
from magnolialug.entry.routeconfig import RouteConfig
from magnolialug.policy.coldstart import ColdStart
from magnolialug.policy.sendlimit import SendLimit
from magnolialug.quarantine.wiring import Quarantine
from magnolialug.result import Code, failed
from magnolialug.silencetimer import SilenceTimer

# More than a third of twenty callers, with some to spare.
_EQUAL_SHARE = 12
# Longer than a sound endpoint's pause between two events.
_SHORT_SILENCE_S = 0.4


def repeat():
    """Sends a request that may run once to a second endpoint."""
    may_retry = retryloop.may_retry

    def careless(ending, idempotent, *rest):
        return may_retry(ending, True, *rest)

    retryloop.may_retry = careless


def go_back():
    """Takes the configuration before for the one in force, after a while."""
    configure = RouteConfig._configure

    def forgetful(self, value):
        before = self.table
        configure(self, value)
        if before is not None and before is not self.table:
            from twisted.internet import reactor

            reactor.callLater(1.0, setattr, self, "table", before)

    RouteConfig._configure = forgetful


def look_whole():
    """Ends an answer that was cut as if it were whole."""
    GatewaySink.abort = GatewaySink.complete


def trust_ends():
    """Takes the end of a connection inside an event for a stream's end."""
    HttpAttempt._is_inside_event = False


def mix_versions():
    """Lets streams go on at another version than the one that began them."""

    def has_other(call, peer):
        return call.software != peer.listed.software

    candidatelist._has_software = has_other


def forget():
    """Takes no note of endpoints that end."""
    Quarantine.record_loss = lambda *_: None


def stay():
    """Obeys no evacuation."""
    Directory.evacuate = lambda *_: None


def cling():
    """Believes no removal of an endpoint's entry."""
    Registry._is_uncertain = lambda _: True


def rush():
    """Sends to cold endpoints as to any other."""
    ColdStart.may_send = lambda *_: True


def overrun():
    """Sends to endpoints that limit their requests as to any other."""
    SendLimit.may_send = SendLimit.may_ask = lambda *_: True


def wait():
    """Waits for ever for an answer that is lost."""
    SilenceTimer.check = lambda _: None


def divide():
    """Serves no more callers than an equal share of them."""
    admit = Gateway._admit

    def strict(self, req):
        if len(self.factory.channels) > _EQUAL_SHARE:
            return failed(Code.LIMITED)
        return admit(self, req)

    Gateway._admit = strict


def hurry():
    """Cuts an answer whose endpoint is silent for a moment."""
    sweep = HttpAttempt.sweep

    def impatient(self, now, *rest):
        if self.begun and now - self.last_contact_at > _SHORT_SILENCE_S:
            self._pending_request.drop()
        else:
            sweep(self, now, *rest)

    HttpAttempt.sweep = impatient


def pile_up():
    """Sends prompts anywhere, and lets engines read them as they come."""
    costestimator.engine_cost_s = lambda *_, **__: 0.0
    gatewayintake.rank = lambda *_: 0


def take_back():
    """Closes idle connections when the limits change."""
    check = GatewayChannel.check_timeouts

    def hasty(self, *args):
        limits = self.factory.limits()
        before, self.known_limits = (
            getattr(self, "known_limits", limits),
            limits,
        )
        if before != limits and self.is_idle:
            self.loseConnection()
        else:
            check(self, *args)

    GatewayChannel.check_timeouts = hasty


def ignore(header):
    """Returns what makes a gateway not see a header of endpoints' answers."""
    on_header = ResponseReader.on_header

    def selective(self, name, value):
        if name.lower() != header:
            on_header(self, name, value)

    def sabotage():
        ResponseReader.on_header = selective

    return sabotage


if __name__ == "__main__":
    {
        "overrun": overrun,
        "repeat": repeat,
        "go-back": go_back,
        "look-whole": look_whole,
        "trust-ends": trust_ends,
        "mix-versions": mix_versions,
        "forget": forget,
        "stay": stay,
        "rush": rush,
        "cling": cling,
        "wait": wait,
        "divide": divide,
        "hurry": hurry,
        "ignore-leaving": ignore(b"server-leaving"),
        "ignore-rest": ignore(b"retry-after"),
        "take-back": take_back,
        "pile-up": pile_up,
    }[sys.argv.pop(1)]()
    gateway.run()
