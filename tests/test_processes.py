"""Tests with real processes on loopback: request path, graceful stop, crashes, store outage."""

import json
import tempfile
import unittest
import urllib.error
import urllib.request
from pathlib import Path

from bench import rolling
from bench.fleet import Fleet, FleetSpec, ServiceSpec, fetch_json, running_fleet

_FLEET_SPEC = FleetSpec(
    "test",
    ("one", "two"),
    (
        ServiceSpec("shop", 2, 8, 2.0, ("book=stock/take", "look=stock/see")),
        ServiceSpec("stock", 2, 8, 2.0),
    ),
)
_SHEET = """\
service_class,priority,expected_per_minute,call_path,deadline_ms,idempotent
booking,0,600,shop/book > stock/take,8000,no
lookup,4,1200,shop/look > stock/see,8000,yes
"""


def post(address: str, path: str, body: bytes) -> tuple[int, str, bytes]:
    """Send a POST request; return the status, the outcome and the body of the response."""
    request = urllib.request.Request(f"http://{address}{path}", body, method="POST")
    try:
        with urllib.request.urlopen(request, timeout=10.0) as answer:
            return answer.status, answer.headers["Gooseberrydock-Outcome"], answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers["Gooseberrydock-Outcome"], error.read()


class ProcessTest(unittest.TestCase):
    """Each test starts a small fleet of its own."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.out = Path(directory.name)
        self.sheet = self.out / "sheet.csv"
        self.sheet.write_text(_SHEET, encoding="utf-8")

    def _start(self) -> Fleet:
        fleet_context = running_fleet(_FLEET_SPEC, self.out)
        fleet = fleet_context.__enter__()
        self.addCleanup(fleet_context.__exit__, None, None, None)
        return fleet

    def test_request_path_and_operator_commands(self) -> None:
        fleet = self._start()
        self.assertIn("generation 1 applied", fleet.apply_sheet(self.sheet))
        for member in fleet.members:
            with self.subTest(entry=member.node_id):
                self.assertEqual(
                    post(member.entry, "/shop/look", b"pan"), (200, "done", b"shop:pan")
                )
                self.assertEqual(
                    post(member.entry, "/shop/book", b"pan"), (200, "done", b"shop:pan")
                )
                self.assertEqual(post(member.entry, "/shop/none", b"")[:2], (404, "not-run"))
        status = fleet.ctl("status", *fleet.admin_arguments())
        self.assertTrue(all(member.node_id in status for member in fleet.members))
        dump = json.loads(fleet.ctl("dump", "--admin", fleet.members[0].admin))
        self.assertEqual(dump[fleet.members[0].admin]["configuration"]["generation"], 1)
        with urllib.request.urlopen(f"http://{fleet.members[0].admin}/metrics") as answer:
            self.assertIn(b"gooseberrydock_answers", answer.read())

    def test_graceful_restart_fails_no_request(self) -> None:
        result, stops = rolling.run(self.out, members_to_restart=1)
        self.assertEqual(len(stops), 1)
        failed = [record for record in result.records if not record.is_success]
        self.assertEqual(failed, [])
        self.assertGreater(len(result.records), 50)

    def test_node_started_during_store_outage_gets_configuration_from_peers(self) -> None:
        fleet = self._start()
        fleet.apply_sheet(self.sheet)
        fetch_json(f"http://{fleet.store}/_fault", {"is_down": True})
        member = fleet.members[-1]
        fleet.kill(member.node_process)
        fleet.start_node(member)
        fleet.wait_until_joined()
        answer = post(fleet.members[0].entry, "/shop/look", b"x")
        self.assertEqual(answer, (200, "done", b"shop:x"))
        self.assertEqual(fleet.state(member)["status"]["generation"], 1)

    def test_request_that_crashes_targets_is_refused_after_two_crashes(self) -> None:
        fleet = self._start()
        fleet.apply_sheet(self.sheet)
        answers = [
            post(member.entry, "/shop/look", b"crash-the-target")
            for member in [*fleet.members, *fleet.members]
        ]
        self.assertNotIn(200, [status for status, _, _ in answers])
        self.assertEqual(answers[-1][:2], (503, "not-run"))
        dead = [m for m in fleet.members if m.target_process and m.target_process.poll()]
        self.assertLessEqual(len([m for m in dead if m.service.name == "shop"]), 2)
        self.assertEqual([m.node_id for m in dead if m.service.name == "stock"], [])
