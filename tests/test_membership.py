"""Membership controllers on a virtual clock: joins, leaves, crashes, pauses and partitions."""

import unittest

import attrs

from bench.group import Group
from gooseberrydock.members import Address, MemberState, decode_member
from gooseberrydock.membership import create_membership

_SIZE = 12
_LOSS = 0.02
_HOUR_MS = 3_600_000.0


def create_group(loss: float = _LOSS) -> Group:
    """Create a group and run it for 3 s without changes."""
    group = Group(_SIZE, loss, seed=5)
    group.run_until(3_000.0)
    return group


def region(node_id: str) -> int:
    """Return which of two regions a node is in."""
    return int(node_id.rsplit("-", 1)[1]) % 2


def states(group: Group, node_id: str) -> set[MemberState]:
    """Return the states of a node in the tables of all other nodes that are responsive."""
    return {
        controller.members[node_id].state
        for name, controller in group.controllers.items()
        if name != node_id and name not in group.unresponsive
    }


class MembershipTest(unittest.TestCase):
    """Convergence of the member tables of a group."""

    def test_quiet_group_declares_nobody_dead(self) -> None:
        group = create_group()
        group.run_until(120_000.0)
        self.assertEqual(group.declared_deaths, [])

    def test_crash_is_disseminated_to_all(self) -> None:
        group = create_group()
        group.unresponsive.add("node-00004")
        group.run_until(30_000.0)
        self.assertEqual(states(group, "node-00004"), {MemberState.DEAD})
        self.assertEqual({dead for _, _, dead in group.declared_deaths}, {"node-00004"})

    def test_leaving_spreads_without_suspicion(self) -> None:
        group = create_group()
        leaving = group.controllers["node-00004"]
        leaving.update_self(state=MemberState.LEAVING)
        group.run_until(9_000.0)
        self.assertEqual(states(group, "node-00004"), {MemberState.LEAVING})

    def test_paused_node_rejoins_and_declares_nobody_dead(self) -> None:
        group = create_group()
        group.unresponsive.add("node-00004")
        group.run_until(40_000.0)
        group.unresponsive.clear()
        group.run_until(100_000.0)
        self.assertEqual(states(group, "node-00004"), {MemberState.ALIVE})
        self.assertEqual({dead for _, _, dead in group.declared_deaths}, {"node-00004"})

    def test_isolated_observer_declares_nobody_dead(self) -> None:
        """A node that receives no datagrams declares nobody dead."""
        group = create_group()
        group.is_partitioned = lambda sender, receiver: receiver == "node-00004"
        group.run_until(60_000.0)
        dead_by_isolated = [
            dead for _, observer, dead in group.declared_deaths if observer == "node-00004"
        ]
        self.assertEqual(dead_by_isolated, [])

    def test_regions_rejoin_after_a_partition_of_an_hour(self) -> None:
        group = create_group()
        group.is_partitioned = lambda sender, receiver: region(sender) != region(receiver)
        group.run_until(_HOUR_MS)
        other = group.controllers["node-00001"].members["node-00002"]
        self.assertIs(other.state, MemberState.DEAD)
        group.is_partitioned = lambda sender, receiver: False
        group.run_until(_HOUR_MS + 120_000.0)
        for node_id in group.controllers:
            self.assertEqual(states(group, node_id), {MemberState.ALIVE}, node_id)

    def test_restarted_node_replaces_its_older_record(self) -> None:
        group = create_group(0.0)
        old = group.controllers["node-00004"].local_member
        restarted = attrs.evolve(old, incarnation=old.incarnation + 1, version=0)
        group.controllers["node-00004"] = create_membership(restarted, 8)
        seed = Address("node-00001", 1)
        group.send("node-00004", [group.controllers["node-00004"].join(seed)])
        group.run_until(20_000.0)
        for name, controller in group.controllers.items():
            if name != "node-00004":
                known = controller.members["node-00004"]
                self.assertEqual(known.incarnation, restarted.incarnation)

    def test_digests_agree_exactly_when_tables_do(self) -> None:
        group = create_group(0.0)
        a, b = group.controllers["node-00001"], group.controllers["node-00002"]
        self.assertEqual(a.differing_buckets(b.digests()), ())
        changed = attrs.evolve(a.members["node-00003"], version=9, slots=1)
        a.on_record(3_000.0, changed, "node-00003")
        buckets = a.differing_buckets(b.digests())
        self.assertEqual(len(buckets), 1)
        for record in a.records_in(buckets):
            b.on_record(3_000.0, decode_member(record), "node-00001")
        self.assertEqual(a.differing_buckets(b.digests()), ())

    def test_death_of_a_member_unknown_to_one_table_is_no_difference(self) -> None:
        group = create_group(0.0)
        a, b = group.controllers["node-00001"], group.controllers["node-00002"]
        unknown = attrs.evolve(a.local_member, node_id="gone", state=MemberState.ALIVE)
        a.on_record(3_000.0, unknown, "gone")
        self.assertEqual(len(a.differing_buckets(b.digests())), 1)
        a.on_record(3_000.0, attrs.evolve(unknown, state=MemberState.DEAD), "node-00003")
        self.assertEqual(a.differing_buckets(b.digests()), ())

    def test_a_table_that_missed_a_death_receives_it_by_synchronization(self) -> None:
        group = create_group(0.0)
        a, b = group.controllers["node-00001"], group.controllers["node-00002"]
        dead = attrs.evolve(a.members["node-00003"], state=MemberState.DEAD)
        a.on_record(3_000.0, dead, "node-00004")
        for record in a.records_in(a.differing_buckets(b.digests())):
            b.on_record(3_000.0, decode_member(record), "node-00001")
        self.assertIs(b.members["node-00003"].state, MemberState.DEAD)
        self.assertEqual(a.differing_buckets(b.digests()), ())
