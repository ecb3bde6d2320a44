"""Tests of the directory of hosts, host selection, the retry budget, shares and traffic splits."""

import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.members import MemberState
from gooseberrydock.mesh.directory import create_directory
from gooseberrydock.mesh.host_selection import create_host_selector
from gooseberrydock.mesh.model import ServiceShare
from gooseberrydock.mesh.options import RetryBudgetOptions
from gooseberrydock.mesh.retry_budget import create_retry_budget
from gooseberrydock.mesh.shares import create_admitted_shares
from gooseberrydock.mesh.traffic_split import TrafficSplitter
from gooseberrydock.messages import TargetReport
from tests.mesh_helpers import make_member, make_route

_ROUTE = make_route()


def _report(in_flight: int = 0, limit: int = 10, mean_run_ms: float = 20.0) -> TargetReport:
    return TargetReport(in_flight, limit, mean_run_ms, 1.0)


class DirectoryCases(unittest.TestCase):
    """Records of other nodes from the store and from peers, and their removal."""

    def test_newer_record_wins_whatever_the_source(self) -> None:
        directory = create_directory("me")
        directory.on_store_record(make_member("a", version=3))
        self.assertFalse(directory.on_peer_record(0.0, make_member("a", "bank", version=2)))
        self.assertTrue(directory.on_peer_record(0.0, make_member("a", "bank", version=4)))
        self.assertFalse(directory.on_store_record(make_member("a", version=3)))
        self.assertEqual(["a"], [item.node_id for item in directory.hosts_of("bank")])

    def test_removed_record_is_kept_for_two_seconds(self) -> None:
        directory = create_directory("me")
        directory.on_store_record(make_member("a"))
        directory.on_store_record_removed(1_000.0, "a")
        self.assertEqual([], directory.tick(2_900.0, is_store_unavailable=False))
        self.assertEqual(["a"], [item.node_id for item in directory.tick(3_100.0, False)])
        self.assertEqual([], directory.hosts_of("shop"))

    def test_removed_record_of_a_live_node_is_kept(self) -> None:
        directory = create_directory("me")
        directory.on_store_record(make_member("a"))
        directory.on_store_record_removed(0.0, "a")
        for step in range(20):
            directory.on_alive(step * 1_000.0, "a")
            self.assertEqual([], directory.tick(step * 1_000.0, is_store_unavailable=False))

    def test_records_are_kept_while_the_store_is_unavailable(self) -> None:
        directory = create_directory("me")
        directory.on_store_record(make_member("a"))
        directory.on_store_record_removed(0.0, "a")
        for step in range(20):
            self.assertEqual([], directory.tick(step * 1_000.0, is_store_unavailable=True))
        self.assertEqual([], directory.tick(20_000.0, is_store_unavailable=False))
        self.assertEqual(1, len(directory.tick(21_500.0, is_store_unavailable=False)))

    def test_node_that_left_is_not_in_use_again_when_an_older_record_of_it_comes_back(self) -> None:
        earlier = make_member("a", version=1)
        leaving = attrs.evolve(make_member("a", version=2), state=MemberState.LEAVING)
        directory = create_directory("me")
        directory.on_store_record(leaving)
        directory.on_store_record_removed(0.0, "a")
        directory.tick(2_500.0, is_store_unavailable=False)
        directory.on_snapshot(3_000.0, [earlier])
        directory.on_peer_record(3_000.0, earlier)
        self.assertEqual([], directory.hosts_of("shop"))
        restarted = attrs.evolve(earlier, incarnation=2)
        directory.on_peer_record(4_000.0, restarted)
        self.assertEqual([restarted], directory.hosts_of("shop"))

    def test_node_removed_without_leaving_may_come_back_with_the_same_record(self) -> None:
        directory = create_directory("me")
        directory.on_store_record(make_member("a"))
        directory.on_store_record_removed(0.0, "a")
        directory.tick(2_500.0, is_store_unavailable=False)
        directory.on_store_record(make_member("a"))
        self.assertEqual(["a"], [item.node_id for item in directory.hosts_of("shop")])

    def test_leaving_node_gets_no_new_calls(self) -> None:
        directory = create_directory("me")
        directory.on_store_record(make_member("a"))
        leaving = attrs.evolve(make_member("a", version=2), state=MemberState.LEAVING)
        directory.on_store_record(make_member("b"))
        directory.on_peer_record(0.0, leaving)
        self.assertEqual(["b"], [item.node_id for item in directory.hosts_of("shop")])

    def test_last_host_is_used_while_its_node_stops(self) -> None:
        directory = create_directory("me")
        leaving = attrs.evolve(make_member("a", version=2), state=MemberState.LEAVING)
        directory.on_store_record(leaving)
        self.assertEqual(["a"], [item.node_id for item in directory.hosts_of("shop")])

    def test_records_missing_from_a_snapshot_expire(self) -> None:
        directory = create_directory("me")
        directory.on_store_record(make_member("a"))
        directory.on_snapshot(0.0, [make_member("b")])
        directory.tick(2_500.0, is_store_unavailable=False)
        self.assertEqual(["b"], [item.node_id for item in directory.hosts_of("shop")])


class HostSelectionCases(unittest.TestCase):
    """Selection among hosts that differ in speed, utilization, failures or failure domain."""

    def test_own_domain_is_preferred_while_it_has_capacity(self) -> None:
        host_selector = create_host_selector("d1", 1)
        hosts = [make_member("near", domain="d1"), make_member("far", domain="d2")]
        for host in hosts:
            host_selector.on_sent(host.node_id)
            host_selector.on_answer(0.0, host.node_id, _ROUTE.name, _report(), False)
        near = host_selector.choose(0.0, _ROUTE, hosts, set())
        self.assertEqual("near", near.node_id if near else "")
        host_selector.on_answer(0.0, "near", _ROUTE.name, _report(in_flight=14), False)
        far = host_selector.choose(0.0, _ROUTE, hosts, set())
        self.assertEqual("far", far.node_id if far else "")

    def test_faster_host_gets_more_calls(self) -> None:
        """Run a steady load of two thirds on three hosts in one domain, one twice as fast."""
        host_selector = create_host_selector("d1", 1)
        hosts = [make_member(name) for name in ("slow1", "slow2", "fast")]
        run_times_ms = {"slow1": 40.0, "slow2": 40.0, "fast": 20.0}
        running: list[tuple[float, str]] = []
        sent: dict[str, int] = dict.fromkeys(run_times_ms, 0)
        for step in range(4_000):
            now_ms = step * 1.5
            ended = [item for item in running if item[0] <= now_ms]
            running = [item for item in running if item[0] > now_ms]
            for _, name in ended:
                load = sum(1 for _, other in running if other == name)
                report = _report(load, 10, run_times_ms[name])
                host_selector.on_answer(0.0, name, _ROUTE.name, report, False)
            host = host_selector.choose(now_ms, _ROUTE, hosts, set())
            assert host is not None
            host_selector.on_sent(host.node_id)
            sent[host.node_id] += 1
            running.append((now_ms + run_times_ms[host.node_id], host.node_id))
        self.assertGreater(sent["fast"], 1.3 * sent["slow1"])
        self.assertGreater(min(sent.values()), 400)

    def test_other_domains_are_used_before_the_own_host_is_full(self) -> None:
        """A near host must not cause load shedding while hosts in other domains are free."""
        host_selector = create_host_selector("d1", 1)
        route = make_route("inner", timeout_ms=700.0)
        hosts = [make_member("near", domain="d1"), make_member("far", domain="d2")]
        for name, in_flight in (("near", 31), ("far", 8)):
            host_selector.on_sent(name)
            host_selector.on_answer(0.0, name, route.name, _report(in_flight, 40, 22.0), False)
        chosen = host_selector.choose(0.0, route, hosts, set())
        self.assertEqual("far", chosen.node_id if chosen else "")

    def test_tight_timeout_prefers_the_fast_host_of_another_domain(self) -> None:
        """On a slow host too many runs of a booking would exceed its timeout."""
        host_selector = create_host_selector("d1", 1)
        route = make_route("booking", timeout_ms=800.0)
        hosts = [make_member("slow", domain="d1"), make_member("fast", domain="d2")]
        for name, run_ms in (("slow", 260.0), ("fast", 215.0)):
            host_selector.on_sent(name)
            host_selector.on_answer(0.0, name, route.name, _report(10, 100, run_ms), False)
        chosen = host_selector.choose(0.0, route, hosts, set())
        self.assertEqual("fast", chosen.node_id if chosen else "")

    def test_slower_host_is_preferred_to_a_full_one(self) -> None:
        host_selector = create_host_selector("d1", 1)
        route = make_route("stock", timeout_ms=2_000.0)
        hosts = [make_member("slow"), make_member("fast")]
        for name, run_ms, in_flight in (("slow", 500.0, 20), ("fast", 220.0, 40)):
            host_selector.on_sent(name)
            host_selector.on_answer(0.0, name, route.name, _report(in_flight, 40, run_ms), False)
        chosen = host_selector.choose(0.0, route, hosts, set())
        self.assertEqual("slow", chosen.node_id if chosen else "")

    def test_failing_host_is_avoided(self) -> None:
        host_selector = create_host_selector("d1", 1)
        hosts = [make_member("good"), make_member("grey")]
        for _ in range(40):
            for host in hosts:
                host_selector.on_sent(host.node_id)
                failed = host.node_id == "grey"
                host_selector.on_answer(0.0, host.node_id, _ROUTE.name, _report(), failed)
        chosen = host_selector.choose(0.0, _ROUTE, hosts, set())
        self.assertEqual("good", chosen.node_id if chosen else "")

    def test_unavailable_host_is_ejected_temporarily(self) -> None:
        host_selector = create_host_selector("d1", 1)
        hosts = [make_member("a"), make_member("b", domain="d2")]
        host_selector.on_unavailable(0.0, "a")
        first = host_selector.choose(100.0, _ROUTE, hosts, set())
        later = host_selector.choose(400.0, _ROUTE, hosts, set())
        self.assertEqual(("b", "a"), (first and first.node_id, later and later.node_id))

    def test_host_without_a_link_is_ejected_until_one_is_open(self) -> None:
        host_selector = create_host_selector("d1", 1)
        hosts = [make_member("a"), make_member("b", domain="d2")]
        host_selector.on_link_lost(0.0, "a")
        first = host_selector.choose(5_000.0, _ROUTE, hosts, set())
        host_selector.on_link_opened("a")
        later = host_selector.choose(5_001.0, _ROUTE, hosts, set())
        self.assertEqual(("b", "a"), (first and first.node_id, later and later.node_id))

    def test_new_host_gets_calls_immediately(self) -> None:
        host_selector = create_host_selector("d1", 1)
        host_selector.on_sent("old")
        host_selector.on_answer(0.0, "old", _ROUTE.name, _report(), False)
        hosts = [make_member("old"), make_member("new")]
        chosen = host_selector.choose(0.0, _ROUTE, hosts, set())
        self.assertEqual("new", chosen.node_id if chosen else "")

    def test_host_is_chosen_even_if_all_are_ejected(self) -> None:
        host_selector = create_host_selector("d1", 1)
        host_selector.on_link_lost(0.0, "a")
        self.assertIsNotNone(host_selector.choose(1.0, _ROUTE, [make_member("a")], set()))
        self.assertIsNone(host_selector.choose(1.0, _ROUTE, [make_member("a")], {"a"}))

    def test_load_of_a_large_service_is_spread_over_sampled_hosts(self) -> None:
        host_selector = create_host_selector("d1", 1)
        hosts = [make_member(f"n{n}", domain=f"d{n % 3}") for n in range(30)]
        chosen = set()
        for _ in range(300):
            host = host_selector.choose(0.0, _ROUTE, hosts, set())
            assert host is not None
            chosen.add(host.node_id)
        self.assertGreaterEqual(len(chosen), 10)


class RetryBudgetCases(unittest.TestCase):
    """Bound on the retries of all nodes together."""

    def test_retries_along_any_call_path_stay_below_the_ratio(self) -> None:
        """Services call each other in a row, each with all the retries it may spend.

        Retries multiply along the call path.
        """
        options = RetryBudgetOptions(ratio=0.2, slack=0.0)
        requests = 5_000
        for services in range(1, 8):
            retries = 0
            for depth in range(services):
                makes_calls = depth < services - 1
                budget = create_retry_budget(options, seed=depth)
                budget.set_service_count(services)
                for _ in range(requests):
                    budget.on_request("shop", makes_calls)
                    retries += budget.try_spend("shop", makes_calls)
            with self.subTest(services=services):
                self.assertLessEqual(retries, 0.2 * requests)

    def test_nodes_that_restart_together_have_no_retries_to_spend(self) -> None:
        options = RetryBudgetOptions(ratio=0.2, slack=213.0)
        budgets = [create_retry_budget(options, seed) for seed in range(194)]
        self.assertFalse(any(budget.try_spend("shop") for budget in budgets))

    @given(st.integers(1, 5_000), st.floats(20.0, 5_000.0), st.integers(0, 2**32))
    def test_balances_of_any_fleet_stay_below_the_slack(
        self, nodes: int, slack: float, seed: int
    ) -> None:
        """Every node has earned all it may keep, and then needs retries of all kinds at once."""
        options = RetryBudgetOptions(ratio=0.2, slack=slack)
        granted = 0
        for number in range(nodes):
            budget = create_retry_budget(options, seed + number)
            budget.set_node_count(nodes)
            for makes_calls in (False, True):
                budget._tokens[("shop", makes_calls)] = 100.0
                while budget.try_spend("shop", makes_calls):
                    granted += 1
        # The grants of parts of tokens vary; six standard deviations are never exceeded.
        self.assertLessEqual(granted, 0.8 * slack + 6.0 * (0.8 * slack) ** 0.5)

    def test_part_of_a_token_is_granted_in_proportion(self) -> None:
        options = RetryBudgetOptions(ratio=0.2, slack=213.0)
        budget = create_retry_budget(options, seed=1)
        budget.set_node_count(1_000)
        granted = 0
        for _ in range(4_000):
            for _ in range(10):
                budget.on_request("shop")
            granted += budget.try_spend("shop")
        self.assertAlmostEqual(0.1065, granted / 4_000, delta=0.02)

    def test_retries_of_all_nodes_stay_below_the_bound(self) -> None:
        options = RetryBudgetOptions(ratio=0.2, slack=47.0)
        for nodes, requests in ((1, 50), (12, 0), (12, 400), (76, 30), (76, 1_000)):
            with self.subTest(nodes=nodes, requests=requests):
                retries = 0
                for _ in range(nodes):
                    budget = create_retry_budget(options, seed=1)
                    budget.set_node_count(nodes)
                    for _ in range(requests):
                        budget.on_request("shop")
                        retries += budget.try_spend("shop")
                    while budget.try_spend("shop"):
                        retries += 1
                self.assertLessEqual(retries, 0.2 * nodes * requests + 47.0)


class ShareCases(unittest.TestCase):
    """Load shedding at the entry if a call path is overloaded."""

    def test_important_requests_are_shed_last(self) -> None:
        shares = create_admitted_shares(1)
        shares.on_report(0.0, "booking", "a", 0.3, 10)
        admitted = sum(shares.admits(0.0, "booking", 0) for _ in range(100))
        less_important = sum(shares.admits(0.0, "booking", 2) for _ in range(100))
        self.assertEqual(100, admitted)
        self.assertTrue(15 <= less_important <= 45)

    def test_requests_that_mostly_fail_are_refused_except_for_probes(self) -> None:
        """If a downstream service fails most calls, requests are refused instead of failing."""
        shares = create_admitted_shares(1)
        for _ in range(200):
            shares.on_result("booking", False)
        admitted_probes = sum(shares.admits(0.0, "booking", 0) for _ in range(200))
        self.assertTrue(20 <= admitted_probes <= 60)
        for _ in range(25):
            shares.on_result("booking", True)
        self.assertTrue(all(shares.admits(0.0, "booking", 0) for _ in range(100)))

    def test_effect_of_an_old_report_fades(self) -> None:
        """At a low share few reports return; a gap between them must not admit all at once."""
        shares = create_admitted_shares(1)
        shares.on_report(0.0, "lookup", "a", 0.1, 10)
        self.assertLess(shares.share_of(1_200.0, "lookup"), 0.3)
        self.assertEqual(1.0, shares.share_of(6_000.0, "lookup"))

    def test_report_of_a_lost_host_is_ignored_beside_newer_ones(self) -> None:
        shares = create_admitted_shares(1)
        shares.on_report(0.0, "lookup", "gone", 0.1, 10)
        shares.on_report(2_000.0, "lookup", "here", 0.9, 10)
        self.assertAlmostEqual(0.9, shares.share_of(2_000.0, "lookup"))

    def test_mean_share_is_weighted_by_concurrency_limit(self) -> None:
        shares = create_admitted_shares(1)
        shares.on_report(0.0, "lookup", "a", 0.5, 30)
        shares.on_report(0.0, "lookup", "b", 1.0, 10)
        self.assertAlmostEqual(0.625, shares.share_of(0.0, "lookup"))

    def test_refused_callers_retry_in_time_and_with_jitter(self) -> None:
        shares = create_admitted_shares(1)
        shares.on_report(0.0, _ROUTE.name, "a", 0.5, 30)
        waits = [shares.retry_after(0.0, _ROUTE) for _ in range(50)]
        self.assertLess(max(waits), _ROUTE.target_latency_ms)
        self.assertGreater(max(waits) - min(waits), 0.1 * _ROUTE.target_latency_ms)


class TrafficSplitCases(unittest.TestCase):
    """Distribution of a route's requests over services by weight."""

    def test_weights_are_kept_exactly(self) -> None:
        route = make_route(shares=(ServiceShare("a", 90.0), ServiceShare("b", 10.0)))
        splitter = TrafficSplitter()
        chosen = [splitter.choose(route) for _ in range(100)]
        self.assertEqual(10, chosen.count("b"))
        changed = make_route(shares=(ServiceShare("a", 1.0), ServiceShare("b", 1.0)))
        chosen = [splitter.choose(changed) for _ in range(100)]
        self.assertEqual(50, chosen.count("b"))
