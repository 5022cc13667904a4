"""Tests of the record of software versions that have served."""

from testtools import TestCase

from magnolialug.config.routing import Route, RouteType, Share
from magnolialug.ids import ServiceName, SoftwareVersion
from magnolialug.policy.registeredendpoint import UNKNOWN_SOFTWARE
from magnolialug.policy.softwarehistory import (
    MAX_OUT_OF_STEP_S,
    SoftwareHistory,
)

LLM = ServiceName("llm")
OLD, NEW = SoftwareVersion("v1"), SoftwareVersion("v1.2")


class SoftwareHistoryTest(TestCase):
    """One version is certain only if none can have been missed."""

    def history(self, known_since=0.0):
        """Returns a history with one endpoint of the old version."""
        history = SoftwareHistory()
        history.known_since = known_since
        history.add(LLM, OLD)
        return history

    def test_one_version_is_known_after_the_whole_time(self):
        """Guards against a fresh process that calls what it sees all."""
        history = self.history(known_since=10.0)
        self.assertIsNone(history.only_version(LLM, 6.0, 15.9))
        self.assertEqual(OLD, history.only_version(LLM, 6.0, 16.0))

    def test_version_that_has_left_counts_for_the_whole_time(self):
        history = self.history()
        history.add(LLM, NEW)
        history.remove(LLM, OLD, 20.0)
        until = 26.0 + MAX_OUT_OF_STEP_S
        self.assertEqual({OLD, NEW}, history.versions(LLM, 6.0, until))
        self.assertIsNone(history.only_version(LLM, 6.0, until))
        self.assertEqual(NEW, history.only_version(LLM, 6.0, until + 0.1))

    def test_version_stays_until_its_last_endpoint_is_gone(self):
        history = self.history()
        history.add(LLM, OLD)
        history.remove(LLM, OLD, 20.0)
        self.assertEqual({OLD}, history.versions(LLM, 0.0, 30.0))

    def test_nothing_is_certain_while_the_registry_cannot_be_read(self):
        """Guards against versions that come while a process is cut off."""
        history = self.history()
        history.known_since = None
        self.assertIsNone(history.only_version(LLM, 6.0, 60.0))

    def test_start_whose_version_becomes_known_leaves_no_doubt(self):
        """Guards against returns that fail since an endpoint started again."""
        history = self.history()
        history.add(LLM, UNKNOWN_SOFTWARE)
        self.assertIsNone(history.only_version(LLM, 6.0, 20.0))
        history.identify(LLM, OLD)
        self.assertEqual(OLD, history.only_version(LLM, 6.0, 20.1))

    def test_start_whose_version_stays_unknown_counts(self):
        """Guards against a start that served and ended without a version."""
        history = self.history()
        for _ in range(2):
            history.add(LLM, UNKNOWN_SOFTWARE)
        history.remove(LLM, UNKNOWN_SOFTWARE, 20.0)
        history.identify(LLM, OLD)
        self.assertIsNone(history.only_version(LLM, 6.0, 26.0))
        history.add(LLM, UNKNOWN_SOFTWARE)
        history.remove(LLM, UNKNOWN_SOFTWARE, 21.0)
        history.add(LLM, UNKNOWN_SOFTWARE)
        history.identify(LLM, OLD)
        self.assertIsNone(history.only_version(LLM, 6.0, 27.0))

    def test_service_that_gets_other_requests_is_not_certain(self):
        """Guards against streams that another service has begun."""

        def routes(**service_by_prefix):
            return [
                Route(
                    name=prefix,
                    host="",
                    prefix="/".join(["", *prefix.split("_"), ""]),
                    form=RouteType.STREAMING,
                    shares=(Share(ServiceName(service), 1.0),),
                    timeout_s=3.0,
                    target_s=1.0,
                )
                for prefix, service in service_by_prefix.items()
            ]

        until = 56.0 + MAX_OUT_OF_STEP_S
        for before, after, is_certain in (
            (routes(a="llm"), routes(a="llm"), True),
            (routes(a="llm"), routes(a="llm", b="desk"), True),
            (routes(a="desk"), routes(a="llm"), False),
            (routes(a="llm"), routes(a="llm", a_b="llm"), False),
            (routes(a="llm", a_b="desk"), routes(a="llm"), False),
            (routes(a="llm", b="desk"), routes(a="llm"), True),
        ):
            history = self.history()
            history.configure(before, 10.0)
            self.assertEqual(OLD, history.only_version(LLM, 6.0, 50.0))
            history.configure(after, 50.0)
            expected = OLD if is_certain else None
            self.assertEqual(expected, history.only_version(LLM, 6.0, until))
            self.assertEqual(OLD, history.only_version(LLM, 6.0, until + 0.1))

    def test_services_are_apart(self):
        history = self.history()
        history.add(ServiceName("desk"), NEW)
        self.assertEqual(OLD, history.only_version(LLM, 6.0, 60.0))
