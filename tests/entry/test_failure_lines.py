"""Tests of the log lines of failed attempts."""

import msgspec
from testtools import TestCase

from magnolialug.carrier.reader import Framing
from magnolialug.standin.endpoint import Fault
from tests.gatewaycluster import GatewayCluster
from tests.loglines import collect_lines

# For how long a stream of the route "check" may be taken up.
STREAM_LIFETIME_S = 6.0


class DigestLineTest(TestCase):
    """Equal requests can be found in the log by their digest."""

    def test_repeated_request_logs_the_same_digest(self):
        """Guards against log lines that identify a request by its id only.

        The id is new each time a caller repeats a request. When engines crash
        one after the other, the lines must show whether they ran the same
        request.
        """
        lines = collect_lines(self)
        cluster = GatewayCluster(desks=1, engines=0)
        (desk,) = cluster.desks.values()
        for body in (b"one", b"one", b"other"):
            desk.faults = [Fault.RESET_BEFORE]
            cluster.ask("/book/x", body=body)
        rows = [msgspec.json.decode(str(line)) for line in lines]
        answered = [r for r in rows if r.get("name") == "ANSWERED"]
        one, again, other = [row["digest"] for row in answered]
        self.assertEqual(one, again)
        self.assertNotEqual(one, other)


class FramingLineTest(TestCase):
    """The log tells what told the end of an answer."""

    def test_lines_tell_the_framing_of_an_answer(self):
        """Guards against broken-off answers whose lines look like whole ones.

        A stream without a length that ends inside an event was logged like any
        other, so it could not be told why it was taken for whole.
        """
        lines = collect_lines(self)
        for framing in (Framing.CHUNKS, Framing.LENGTH, Framing.CLOSE):
            cluster = GatewayCluster(desks=0, engines=1)
            (engine,) = cluster.engines.values()
            engine.framing = framing
            cluster.ask("/draft/x")
            engine.stop_after = [2]
            engine.in_event = True
            cluster.ask("/draft/x")
            rows = [msgspec.json.decode(str(line)) for line in lines]
            lines.clear()
            whole = [r for r in rows if r.get("name") == "REQUEST_DONE"]
            cut = [r for r in rows if r.get("name") == "ANSWERED"]
            self.assertEqual([framing.value], [r["framing"] for r in whole])
            self.assertEqual(
                [(framing.value, True)],
                [(r["framing"], r["in_event"]) for r in cut],
            )

    def test_line_of_a_whole_answer_tells_who_ended_it(self):
        """Guards against the end of a process that reads like a sound one.

        A stream without a length is whole when its connection closes, and
        nothing told whether its endpoint had closed the others too.
        """
        lines = collect_lines(self)
        cluster = GatewayCluster(desks=0, engines=1)
        (engine,) = cluster.engines.values()
        for framing, left in ((Framing.CHUNKS, 1), (Framing.CLOSE, 1)):
            engine.framing = framing
            cluster.ask("/draft/x")
            rows = [msgspec.json.decode(str(line)) for line in lines]
            lines.clear()
            (done,) = [r for r in rows if r.get("name") == "REQUEST_DONE"]
            self.assertEqual(
                (engine.instance, left), (done["endpoint"], done["connections"])
            )


class SoftwareLineTest(TestCase):
    """The log tells which software version a stream goes to."""

    def test_lines_tell_the_version_and_the_stream_that_is_taken_up(self):
        """Guards against streams of two versions that cannot be traced."""
        lines = collect_lines(self)
        cluster = GatewayCluster(desks=0, engines=0)
        cluster.add_engine(software="v1.2")
        cluster.pass_time(STREAM_LIFETIME_S + 1)
        headers = ("Last-Event-Id: 2", "Resumes: 1f")
        cluster.ask("/check/x", headers=headers)
        rows = [msgspec.json.decode(str(line)) for line in lines]
        (listed,) = [r for r in rows if r.get("name") == "ENDPOINT_LISTED"]
        self.assertEqual("v1.2", listed["software"])
        (placed,) = [r for r in rows if r.get("name") == "PLACED"]
        self.assertEqual("v1.2", placed["software"])
        self.assertEqual("1f", placed["resumes"])
        (taken_up,) = [r for r in rows if r.get("name") == "STREAM_TAKEN_UP"]
        self.assertEqual("only version", taken_up["found_by"])

    def test_line_tells_whose_copy_of_the_registry_named_the_version(self):
        """Guards against a line that leaves open who vouched for a version."""
        for known_since, own in ((0.0, "v1.2"), (STREAM_LIFETIME_S, "")):
            lines = collect_lines(self)
            cluster = GatewayCluster(
                desks=0, engines=0, vms=("front-1", "front-2")
            )
            cluster.add_engine(software="v1.2")
            cluster.pass_time(STREAM_LIFETIME_S + 1)
            cluster.gateway.directory.software.known_since = known_since
            headers = ("Last-Event-Id: 2", "Resumes: 1f")
            cluster.ask("/check/x", headers=headers)
            rows = [msgspec.json.decode(str(line)) for line in lines]
            (line,) = [r for r in rows if r.get("name") == "STREAM_TAKEN_UP"]
            self.assertEqual("only version", line["found_by"])
            self.assertEqual(own, line["own_version"])
            self.assertEqual(["v1.2"], line["vouched_versions"])
            self.assertEqual((1, 1), (line["asked"], line["answered"]))


class GivenUpLineTest(TestCase):
    """The log tells why an attempt was ended by the gateway."""

    def given_up(self, lines):
        """Returns why the attempts of the collected lines were ended."""
        rows = [msgspec.json.decode(str(line)) for line in lines]
        return [r["given_up"] for r in rows if r.get("name") == "ANSWERED"]

    def test_lines_tell_a_deadline_from_a_restart_and_a_failure(self):
        """Guards against attempts whose lines all say "silent"."""
        lines = collect_lines(self)
        cluster = GatewayCluster(desks=1, engines=0)
        (desk,) = cluster.desks.values()
        desk.faults = [Fault.MUTE]
        cluster.ask("/book/x", seconds=4)
        self.assertEqual(["deadline"], self.given_up(lines))
        lines.clear()
        desk.faults = [Fault.RESET_BEFORE]
        cluster.ask("/book/x")
        self.assertEqual([""], self.given_up(lines))
        lines.clear()
        desk.faults = [Fault.MUTE]
        cluster.send("/book/x", deadline_ms=3000)
        cluster.pass_time(2.5)
        cluster.relist(desk, born=7)
        cluster.pass_time(0.1)
        cluster.relist(desk, born=8)
        cluster.pass_time(0.4)
        self.assertEqual(["restarted"], self.given_up(lines))
