"""Calls through node cores: answers, refusals and their outcomes, at most one run, cancellation."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock import keys
from gooseberrydock.configuration import CallStep, ServiceClass
from gooseberrydock.errorcodes import (
    CREDIT_EXHAUSTED,
    KEY_SEALED,
    NO_SERVICE_CLASS,
    NODE_LEAVING,
    QUARANTINED,
    SHED_AT_TARGET,
    TARGET_LOST,
    UNKNOWN_CONTEXT,
)
from gooseberrydock.http_messages import (
    CODE_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    Headers,
    HttpRequest,
    header_value,
)
from gooseberrydock.messages import ShedThresholdReport
from tests.simulated_cluster import FakeNode, SimulatedCluster

LOOKUP = ServiceClass("lookup", 4, (CallStep("shop", "look"), CallStep("stock", "see")), 60.0)
BOOKING = ServiceClass("booking", 0, (CallStep("shop", "book"),), 60.0, is_idempotent=False)


def create_cluster() -> SimulatedCluster:
    """Create two entry nodes without a target, three shop nodes and one stock node."""
    cluster = SimulatedCluster()
    cluster.add("entry-1", "")
    cluster.add("entry-2", "")
    for index in range(3):
        cluster.add(f"shop-{index}", "shop")
    cluster.add("stock-0", "stock")
    cluster.start(LOOKUP, BOOKING)
    return cluster


def code_of(node: FakeNode, exchange_id: int) -> int:
    """Return the error code that a caller received, or 0."""
    return int(header_value(node.responses[exchange_id][0].headers, CODE_HEADER) or 0)


def new_key_headers(cluster: SimulatedCluster) -> Headers:
    """Create the header with a new idempotency key."""
    return [(IDEMPOTENCY_KEY_HEADER, keys.create_key(cluster.now_ms, cluster.generator).encode())]


class CallTest(unittest.TestCase):
    """Single cases, mostly of idempotent calls."""

    def setUp(self) -> None:
        self.cluster = create_cluster()
        self.entry = self.cluster.nodes["entry-1"]
        self.other = self.cluster.nodes["entry-2"]
        self.shops = [self.cluster.nodes[f"shop-{index}"] for index in range(3)]

    def _running(self) -> list[tuple[FakeNode, int]]:
        return [(shop, run_id) for shop in self.shops for run_id in shop.runs]

    def test_complete_answer_is_returned(self) -> None:
        exchange = self.entry.request("/shop/look", body=b"pan")
        self.cluster.run_until_idle()
        self.assertEqual(self.entry.responses[exchange][0].body, b"echo:pan")
        self.assertEqual(self.entry.outcome(exchange), "done")

    def test_refusals_before_anything_ran(self) -> None:
        cases = [("/nowhere/op", NO_SERVICE_CLASS), ("/shop/unknown", NO_SERVICE_CLASS)]
        for path, code in cases:
            with self.subTest(path=path):
                exchange = self.entry.request(path)
                self.assertEqual(code_of(self.entry, exchange), code.number)
                self.assertEqual(self.entry.outcome(exchange), "not-run")

    def test_call_without_context_is_refused(self) -> None:
        shop = self.shops[0]
        request = HttpRequest("POST", "/", [], b"")
        exchange = shop.call_from_target(request, "/stock/see")
        self.assertEqual(code_of(shop, exchange), UNKNOWN_CONTEXT.number)

    def test_target_that_retries_its_call_exhausts_its_credit(self) -> None:
        self.entry.request("/shop/look")
        self.cluster.deliver_all()
        shop, run_id = self._running()[0]
        codes = []
        for _ in range(12):
            exchange = shop.call_from_target(shop.runs[run_id], "/stock/see")
            self.cluster.deliver_all()
            self.cluster.nodes["stock-0"].finish_all_runs()
            self.cluster.deliver_all()
            codes.append(code_of(shop, exchange))
        credit_kept_at_entry = LOOKUP.subtree_size(0)
        allowed = 1 + LOOKUP.retry_allowance - credit_kept_at_entry
        self.assertEqual(codes[:allowed], [0] * allowed)
        self.assertEqual(set(codes[allowed:]), {CREDIT_EXHAUSTED.number})

    def test_lookup_is_rerouted_from_a_leaving_target(self) -> None:
        exchange = self.entry.request("/shop/look")
        receiver = self.cluster.nodes[self.cluster.in_transit[0].receiver]
        receiver.core.leave(self.cluster.now_ms)
        self.cluster.run_until_idle()
        self.assertEqual(self.entry.outcome(exchange), "done")
        self.assertEqual(receiver.started, [])
        self.assertNotEqual(code_of(self.entry, exchange), NODE_LEAVING.number)

    def test_lookup_is_retried_after_a_lost_link_and_answered_once(self) -> None:
        exchange = self.entry.request("/shop/look", body=b"x")
        self.cluster.deliver_all()
        shop, _ = self._running()[0]
        self.cluster.close_link(f"entry-1>{shop.node_id}")
        self.cluster.run_until_idle()
        self.assertEqual([r.status for r in self.entry.responses[exchange]], [200])

    def test_late_answer_of_an_expired_call_is_dropped(self) -> None:
        exchange = self.entry.request("/shop/look")
        self.cluster.deliver_all()
        shop, run_id = self._running()[0]
        self.cluster.time.advance(6_000)
        self.entry.core.tick(self.cluster.now_ms)
        self.assertEqual(self.entry.outcome(exchange), "unknown")
        shop.finish_run(run_id, body=b"late")
        later = self.entry.request("/shop/look", body=b"new")
        self.cluster.run_until_idle()
        self.assertEqual(self.entry.responses[later][0].body, b"echo:new")
        self.assertEqual(len(self.entry.responses[exchange]), 1)

    def test_caller_disconnect_cancels_nested_calls(self) -> None:
        exchange = self.entry.request("/shop/look")
        self.cluster.deliver_all()
        shop, run_id = self._running()[0]
        shop.call_from_target(shop.runs[run_id], "/stock/see")
        self.cluster.deliver_all()
        self.assertEqual(len(self.cluster.nodes["stock-0"].runs), 1)
        self.entry.core.on_caller_disconnected(exchange)
        self.cluster.deliver_all()
        self.assertEqual(self._running(), [])
        self.assertEqual(self.cluster.nodes["stock-0"].runs, {})

    def test_entry_sheds_for_a_service_deep_on_the_path(self) -> None:
        shed_thresholds = self.entry.core.shed_thresholds
        shed_thresholds.observe(self.cluster.now_ms, (ShedThresholdReport("stock", 1.0),))
        refused = sum(
            self.entry.outcome(self.entry.request("/shop/look")) == "not-run" for _ in range(100)
        )
        self.assertGreaterEqual(refused, 90)
        booked = self.entry.request("/shop/book")
        self.cluster.run_until_idle()
        self.assertEqual(self.entry.outcome(booked), "done")

    def test_refusal_passed_on_by_a_target_is_unknown_and_keeps_its_limit(self) -> None:
        """The refused call never left the node, but the target had started to work."""
        exchange = self.entry.request("/shop/look")
        self.cluster.deliver_all()
        shop, run_id = self._running()[0]
        shop.core.shed_thresholds.observe(self.cluster.now_ms, (ShedThresholdReport("stock", 0.0),))
        inner = shop.call_from_target(shop.runs[run_id], "/stock/see")
        self.assertEqual(shop.outcome(inner), "not-run")
        shop.finish_run(run_id, 503, headers=[(OUTCOME_HEADER, b"not-run")])
        self.cluster.deliver_all()
        self.assertEqual(self.entry.outcome(exchange), "unknown")
        admission = shop.core.inbound.admission
        assert admission is not None
        self.assertEqual(admission.limit.limit, admission.limit.slots)

    def test_request_that_crashes_targets_crashes_at_most_two(self) -> None:
        crashed: set[str] = set()
        for attempt in range(6):
            entry = self.entry if attempt % 2 else self.other
            exchange = entry.request("/shop/look", body=b"bad")
            harmless = self.entry.request("/shop/look", body=b"good %d" % attempt)
            for _ in range(4):
                self.cluster.deliver_all()
                for shop in self.shops:
                    self._crash_on_bad_request(shop, crashed)
            self.cluster.run_until_idle()
            for _ in range(10):
                self.cluster.tick(20.0)
                self.cluster.run_until_idle()
            self.assertEqual(self.entry.outcome(harmless), "done")
        self.assertLessEqual(len(crashed), 2)
        self.assertEqual(code_of(entry, exchange), QUARANTINED.number)

    def _crash_on_bad_request(self, shop: FakeNode, crashed: set[str]) -> None:
        if not any(run.body == b"bad" for run in shop.runs.values()):
            return
        crashed.add(shop.node_id)
        for run_id in list(shop.runs):
            shop.fail_run(run_id, TARGET_LOST)
        shop.core.on_crash_checked(self.cluster.now_ms, is_reachable=False)

    def test_popular_request_is_served_on_when_targets_end_for_another_reason(self) -> None:
        # Guards against a quarantine of a request that only runs when targets end otherwise.
        for number in range(9):
            answered = [self.entry.request("/shop/look", body=b"popular") for _ in range(4)]
            self.cluster.run_until_idle()
            self.assertEqual(["done"] * 4, [self.entry.outcome(item) for item in answered])
            self.other.request("/shop/look", body=b"popular")
            self.cluster.deliver_all()
            shop, run_id = self._running()[0]
            shop.fail_run(run_id, TARGET_LOST)
            shop.core.on_crash_checked(self.cluster.now_ms, is_reachable=False)
            self.cluster.run_until_idle()
            self.cluster.tick(100.0 * number)
        self.assertEqual(
            [{}] * len(self.shops), [shop.core.quarantine.quarantined for shop in self.shops]
        )

    def test_lost_connection_without_a_crash_quarantines_no_request(self) -> None:
        self.entry.request("/shop/look", body=b"fine")
        self.cluster.deliver_all()
        shop, run_id = self._running()[0]
        shop.fail_run(run_id, TARGET_LOST)
        shop.core.on_crash_checked(self.cluster.now_ms, is_reachable=True)
        self.assertEqual(shop.core.quarantine.quarantined, {})


class JoinedRequestTest(unittest.TestCase):
    """A lookup that its caller sends again while the first one is in flight."""

    def setUp(self) -> None:
        self.cluster = create_cluster()
        self.entry = self.cluster.nodes["entry-1"]
        headers = new_key_headers(self.cluster)
        self.first = self.entry.request("/shop/look", headers)
        self.second = self.entry.request("/shop/look", headers)
        self.cluster.deliver_all()
        self.shop = next(node for node in self.cluster.nodes.values() if node.runs)

    def _leave(self, exchange_id: int) -> None:
        self.entry.core.on_caller_disconnected(exchange_id)
        self.cluster.deliver_all()

    def test_work_goes_on_while_one_of_both_waits(self) -> None:
        for left, stays in ((self.first, self.second), (self.second, self.first)):
            with self.subTest(left=left):
                self.setUp()
                self._leave(left)
                self.assertEqual(1, len(self.shop.runs))
                self.shop.finish_run(next(iter(self.shop.runs)), 200)
                self.cluster.deliver_all()
                self.assertEqual("done", self.entry.outcome(stays))
                answered = self.entry.core.outbound._stats.answered
                self.assertEqual(1, sum(answered.values()))
                self.assertEqual(0, self.entry.core.outbound.in_flight)

    def test_work_is_cancelled_once_both_have_left(self) -> None:
        for order in ((self.first, self.second), (self.second, self.first)):
            with self.subTest(order=order):
                self.setUp()
                for exchange_id in order:
                    self._leave(exchange_id)
                self.assertEqual({}, self.shop.runs)
                self.assertEqual(0, self.entry.core.outbound.in_flight)


class DeadlineHeaderTest(unittest.TestCase):
    """Deadlines that callers request."""

    def test_leading_zeros_and_many_digits(self) -> None:
        for text, is_served in (
            (b"0" * 20 + b"5000", True),
            (b"9" * 40, True),
            (b"0" * 20, False),
            (b"0", False),
        ):
            with self.subTest(text):
                cluster = create_cluster()
                entry = cluster.nodes["entry-1"]
                exchange_id = entry.request("/shop/look", [(DEADLINE_HEADER, text)])
                cluster.deliver_all()
                started = sum(len(node.started) for node in cluster.nodes.values())
                self.assertEqual(is_served, started == 1)
                self.assertEqual(not is_served, exchange_id in entry.responses)


class BookingTest(unittest.TestCase):
    """Non-idempotent requests."""

    def setUp(self) -> None:
        self.cluster = create_cluster()
        self.entries = [self.cluster.nodes["entry-1"], self.cluster.nodes["entry-2"]]
        self.shops = [self.cluster.nodes[f"shop-{index}"] for index in range(3)]

    def _runs(self) -> int:
        return sum(len(shop.started) for shop in self.shops)

    def test_copies_through_two_entries_run_once_and_get_the_same_answer(self) -> None:
        headers = new_key_headers(self.cluster)
        sent = [(entry, entry.request("/shop/book", headers, b"x")) for entry in self.entries]
        self.cluster.run_until_idle()
        later = self.entries[1].request("/shop/book", headers, b"x")
        self.cluster.run_until_idle()
        for entry, exchange in [*sent, (self.entries[1], later)]:
            self.assertEqual(entry.responses[exchange][0].body, b"echo:x")
        self.assertEqual(self._runs(), 1)

    def test_a_key_that_only_the_entry_knows_is_replaced_when_its_owner_is_lost(self) -> None:
        """Requests without a caller's key reach another owner; those with one can end unknown."""
        lost_shop = self.shops[0]
        del self.cluster.nodes[lost_shop.node_id]
        outcomes: dict[str, set[str]] = {"generated key": set(), "caller's key": set()}
        for name, seen in outcomes.items():
            for _ in range(12):
                headers = new_key_headers(self.cluster) if name == "caller's key" else []
                exchange = self.entries[0].request("/shop/book", headers, b"x")
                for _ in range(4):
                    self._fail_calls_to(lost_shop.node_id)
                    self.cluster.run_until_idle()
                seen.add(self.entries[0].outcome(exchange))
        self.assertEqual(outcomes["generated key"], {"done"})
        self.assertEqual(outcomes["caller's key"], {"done", "unknown"})

    def _fail_calls_to(self, node_id: str) -> None:
        """Drop the messages to a node and report its calls unsent, as if no link could open."""
        for envelope in list(self.cluster.in_transit):
            if envelope.receiver == node_id:
                self.cluster.in_transit.remove(envelope)
        for attempt in self.entries[0].core.outbound.pending_attempts():
            if attempt.node_id == node_id:
                self.entries[0].core.on_calls_unsent(self.cluster.now_ms, [attempt.call_id])

    def test_a_key_of_another_request_is_refused(self) -> None:
        headers = new_key_headers(self.cluster)
        self.entries[0].request("/shop/book", headers, b"x")
        self.cluster.run_until_idle()
        exchange = self.entries[1].request("/shop/book", headers, b"y")
        self.cluster.run_until_idle()
        self.assertEqual(self.entries[1].responses[exchange][0].status, 422)
        self.assertEqual(self._runs(), 1)

    def test_refused_key_is_sealed(self) -> None:
        headers = new_key_headers(self.cluster)
        for shop in self.shops:
            shop.core.inbound.admission.limit.announce(1)  # type: ignore[union-attr]
        fillers = [self.entries[0].request("/shop/book") for _ in range(60)]
        self.cluster.deliver_all()
        exchange = self.entries[1].request("/shop/book", headers, b"x")
        self.cluster.deliver_all()
        self.assertEqual(code_of(self.entries[1], exchange), SHED_AT_TARGET.number)
        self.assertEqual(self.entries[1].outcome(exchange), "not-run")
        self.cluster.run_until_idle()
        again = self.entries[0].request("/shop/book", headers, b"x")
        self.cluster.run_until_idle()
        self.assertEqual(code_of(self.entries[0], again), KEY_SEALED.number)
        self.assertTrue(all(self.entries[0].outcome(item) for item in fillers))

    def test_entry_that_sheds_a_resent_key_queries_its_owner(self) -> None:
        headers = new_key_headers(self.cluster)
        first = self.entries[0].request("/shop/book", headers, b"x")
        self.cluster.deliver_all()
        shed_thresholds = self.entries[1].core.shed_thresholds
        shed_thresholds.observe(self.cluster.now_ms, (ShedThresholdReport("shop", 0.0),))
        second = self.entries[1].request("/shop/book", headers, b"x")
        self.cluster.run_until_idle()
        self.assertEqual(self.entries[0].outcome(first), "done")
        self.assertEqual(self.entries[1].outcome(second), "done")
        shed_thresholds.observe(self.cluster.now_ms, (ShedThresholdReport("shop", 0.0),) * 20)
        fresh = self.entries[1].request("/shop/book", new_key_headers(self.cluster), b"z")
        self.cluster.run_until_idle()
        self.assertEqual(self.entries[1].outcome(fresh), "not-run")
        self.assertEqual(self._runs(), 1)

    @given(st.data())
    def test_not_run_is_true_and_nothing_runs_twice(self, data: st.DataObject) -> None:
        """Cover any order of deliveries, lost links, ends of runs, cancellations and resends."""
        self.setUp()
        headers = new_key_headers(self.cluster)
        sent: list[tuple[FakeNode, int]] = []
        for _ in range(data.draw(st.integers(5, 25))):
            self._act(data, headers, sent)
        self.cluster.run_until_idle()
        self.cluster.tick(10_000.0)
        self.cluster.run_until_idle()
        outcomes = [entry.outcome(exchange) for entry, exchange in sent]
        self.assertLessEqual(self._runs(), 1)
        if "not-run" in outcomes:
            self.assertEqual(self._runs(), 0)
        for entry, exchange in sent:
            if entry.outcome(exchange) == "done":
                self.assertEqual(entry.responses[exchange][0].body, b"echo:x")
            self.assertLessEqual(len(entry.responses.get(exchange, [])), 1)

    def _act(self, data: st.DataObject, headers: Headers, sent: list[tuple[FakeNode, int]]) -> None:
        action = data.draw(
            st.sampled_from(
                ["send", "deliver", "lose", "finish", "fail", "disconnect", "shed", "wait"]
            )
        )
        in_transit = self.cluster.in_transit
        if action == "send":
            entry = data.draw(st.sampled_from(self.entries))
            sent.append((entry, entry.request("/shop/book", headers, b"x")))
        elif action in ("deliver", "lose") and in_transit:
            envelope = data.draw(st.sampled_from(in_transit))
            first = next(item for item in in_transit if item.link_id == envelope.link_id)
            (self.cluster.deliver if action == "deliver" else self.cluster.lose)(first)
        elif action in ("finish", "fail"):
            for shop in self.shops:
                for run_id in list(shop.runs):
                    if action == "finish":
                        shop.finish_run(run_id, body=b"echo:x")
                    else:
                        shop.fail_run(run_id, TARGET_LOST)
        elif action == "disconnect" and sent:
            entry, exchange = data.draw(st.sampled_from(sent))
            entry.core.on_caller_disconnected(exchange)
        elif action == "shed":
            threshold = data.draw(st.sampled_from([0.0, 10.0]))
            shed_thresholds = data.draw(st.sampled_from(self.entries)).core.shed_thresholds
            shed_thresholds.observe(
                self.cluster.now_ms, (ShedThresholdReport("shop", threshold),) * 20
            )
        elif action == "wait":
            self.cluster.tick(data.draw(st.sampled_from([10.0, 1_000.0, 6_000.0])))
