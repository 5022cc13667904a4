"""When refused callers are told to return."""

from testtools import TestCase

from magnolialug.policy.returnschedule import ReturnSchedule


class ReturnScheduleTest(TestCase):
    """Guards against callers that all return at one moment."""

    def setUp(self):
        super().setUp()
        self.schedule = ReturnSchedule()

    def after_s(self, now=0.0, wait_s=0.5, service="llm"):
        """Returns when the next caller may return, at two requests a second."""
        return self.schedule.after_s(service, wait_s, 2.0, now)

    def test_callers_return_at_the_rate_that_serves_them(self):
        told = [self.after_s() for _ in range(4)]
        self.assertEqual([0.5, 1.0, 1.5, 2.0], told)

    def test_services_do_not_wait_for_each_other(self):
        self.after_s()
        self.assertEqual(0.5, self.after_s(service="desk"))

    def test_no_caller_is_told_to_wait_for_ever(self):
        """Guards against waits that grow with each refusal."""
        told = [self.after_s() for _ in range(1000)]
        self.assertEqual(5.0, max(told))
        self.assertLessEqual(self.after_s(now=4.0), 2.0)
