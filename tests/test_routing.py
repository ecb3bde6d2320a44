"""Selection of targets by the results of the node's own calls."""

import unittest

from gooseberrydock.members import Address, Member, MemberState
from gooseberrydock.messages import LoadReport
from gooseberrydock.routing import RoutingController, create_routing

_ADDRESS = Address("127.0.0.1", 1)
_NO_EXCLUSIONS: frozenset[str] = frozenset()


def create_member(name: str, domain: str = "d1", state: MemberState = MemberState.ALIVE) -> Member:
    """Create a member with a target."""
    return Member(name, 1, 0, state, _ADDRESS, _ADDRESS, "r", domain, "s", 10)


def create_controller(*members: Member) -> RoutingController:
    """Create a controller in failure domain d1 with the given members."""
    routing = create_routing("d1", 1)
    for member in members:
        routing.on_member(0.0, member, is_late_joiner=False)
    return routing


def choice_shares(
    routing: RoutingController, now_ms: float, count: int = 1_000
) -> dict[str, float]:
    """Return the share of choices that each target gets while nothing is sent or answered."""
    chosen: dict[str, int] = {}
    for _ in range(count):
        member = routing.choose(now_ms, "s", _NO_EXCLUSIONS)
        assert member is not None
        chosen[member.node_id] = chosen.get(member.node_id, 0) + 1
    return {name: number / count for name, number in chosen.items()}


class RoutingTest(unittest.TestCase):
    """Each test covers one routing rule."""

    def test_fast_target_gets_more_calls_than_a_slow_one(self) -> None:
        routing = create_controller(create_member("fast"), create_member("slow"))
        for _ in range(50):
            routing.on_answer("fast", 10.0, LoadReport(3, 0, 10), did_run=True)
            routing.on_answer("slow", 100.0, LoadReport(3, 0, 10), did_run=True)
        self.assertGreater(choice_shares(routing, 1.0)["fast"], 0.9)

    def test_loaded_target_gets_few_calls_whatever_its_latency(self) -> None:
        routing = create_controller(create_member("free"), create_member("full"))
        routing.on_answer("full", 10.0, LoadReport(10, 10, 10), did_run=True)
        routing.on_answer("free", 30.0, LoadReport(1, 0, 10), did_run=True)
        self.assertGreater(choice_shares(routing, 1.0)["free"], 0.9)

    def test_own_failure_domain_is_preferred_on_equal_terms(self) -> None:
        routing = create_controller(create_member("near", "d1"), create_member("far", "d2"))
        self.assertGreater(choice_shares(routing, 1.0)["near"], 0.9)

    def test_ejection_stays_bounded_after_any_number_of_failures(self) -> None:
        routing = create_controller(create_member("good"), create_member("bad"))
        for number in range(5_000):
            routing.on_failure(float(number), "bad", is_unreachable=False)
        self.assertEqual({"good": 1.0}, choice_shares(routing, 5_000.0))
        self.assertIn("bad", choice_shares(routing, 5_000.0 + 30_000.0))

    def test_late_joiner_gets_slow_start(self) -> None:
        routing = create_controller(create_member("old"))
        routing.on_member(1_000.0, create_member("new"), is_late_joiner=True)
        self.assertLess(choice_shares(routing, 1_001.0).get("new", 0.0), 0.1)
        self.assertGreater(choice_shares(routing, 20_000.0)["new"], 0.3)

    def test_failing_target_is_ejected_and_returns(self) -> None:
        routing = create_controller(*(create_member(name) for name in "abc"))
        for _ in range(3):
            routing.on_failure(0.0, "a", is_unreachable=False)
        self.assertNotIn("a", choice_shares(routing, 500.0))
        self.assertIn("a", choice_shares(routing, 1_500.0))

    def test_never_more_than_half_of_a_service_is_ejected(self) -> None:
        routing = create_controller(*(create_member(name) for name in "abcd"))
        for name in "abcd":
            for _ in range(3):
                routing.on_failure(0.0, name, is_unreachable=False)
        self.assertEqual(len(choice_shares(routing, 1.0)), 2)

    def test_unreachable_target_is_tried_with_growing_backoff(self) -> None:
        routing = create_controller(*(create_member(name) for name in "abc"))
        attempts, now_ms = 0, 0.0
        while now_ms < 20_000.0:
            now_ms += 10.0
            member = routing.choose(now_ms, "s", _NO_EXCLUSIONS)
            assert member is not None
            if member.node_id == "a":
                attempts += 1
                routing.on_failure(now_ms, "a", is_unreachable=True)
        self.assertLessEqual(attempts, 8)
        routing.on_answer("a", 1.0, LoadReport(0, 0, 10), did_run=True)
        self.assertIn("a", choice_shares(routing, now_ms + 10_000.0))

    def test_leaving_target_gets_no_calls_but_still_owns_keys(self) -> None:
        routing = create_controller(create_member("a"), create_member("b"))
        leaving = create_member("a", state=MemberState.LEAVING)
        routing.on_member(1.0, leaving, is_late_joiner=False)
        self.assertEqual(set(choice_shares(routing, 2.0)), {"b"})
        self.assertEqual(routing.member_by_id("s", "a"), leaving)
