"""The site's shape as real processes, with endpoints that signals end."""

from tests.soak.soakcase import SoakTestCase


class SiteTest(SoakTestCase):
    """Five gateways and nine endpoints, each a process of its own."""

    def test_answers_of_killed_endpoints_do_not_look_whole(self):
        """Guards against the FIN of a killed process that ends an answer."""
        code, report = self.soak(
            "--seed=2",
            "--minutes=0.3",
            "--clients=24",
            "--machines=5",
            "--endpoint_processes=9",
        )
        self.assertEqual([], report["violations"])
        self.assertEqual(0, code)
        self.assertGreater(report["faults"]["kill_endpoint"], 5)
        # Half of the endpoints send answers that only a close ends.
        outcomes = report["outcomes"]
        self.assertGreater(outcomes["draft cut"], 0)
        self.assertLess(outcomes["draft cut"], outcomes["draft 200"] / 4)

    def test_streams_keep_their_version_beside_a_release(self):
        """Guards against an old copy of the registry at a machine cut off."""
        code, report = self.soak(
            "--seed=2",
            "--minutes=0.3",
            "--clients=40",
            "--machines=5",
            "--endpoint_processes=9",
            "--only=release_beside_cut",
        )
        self.assertEqual([], report["violations"])
        self.assertEqual(0, code)
        self.assertGreater(report["faults"]["releases"], 0)
