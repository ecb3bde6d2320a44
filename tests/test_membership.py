"""Membership controllers on a virtual clock: joins, leaves, crashes, pauses and cuts."""

import unittest

import attrs

from bench.group import Group
from gooseberrydock.members import Address, MemberState, decode_member
from gooseberrydock.membership import create_membership

_SIZE = 12
_LOSS = 0.02
_HOUR_MS = 3_600_000.0


def create_group(loss: float = _LOSS) -> Group:
    """Make a group that has been quiet for a while."""
    group = Group(_SIZE, loss, seed=5)
    group.run_until(3_000.0)
    return group


def region(node_id: str) -> int:
    """Return which of two regions a node is in."""
    return int(node_id.rsplit("-", 1)[1]) % 2


def states(group: Group, node_id: str) -> set[MemberState]:
    """Return what all others believe of a node."""
    return {
        controller.members[node_id].state
        for name, controller in group.controllers.items()
        if name != node_id and name not in group.silent
    }


class MembershipTest(unittest.TestCase):
    """What a group comes to believe."""

    def test_quiet_group_declares_nobody_dead(self) -> None:
        group = create_group()
        group.run_until(120_000.0)
        self.assertEqual(group.deaths, [])

    def test_crash_becomes_known_to_all(self) -> None:
        group = create_group()
        group.silent.add("node-00004")
        group.run_until(30_000.0)
        self.assertEqual(states(group, "node-00004"), {MemberState.DEAD})
        self.assertEqual({dead for _, _, dead in group.deaths}, {"node-00004"})

    def test_leaving_spreads_without_suspicion(self) -> None:
        group = create_group()
        leaver = group.controllers["node-00004"]
        leaver.update_self(state=MemberState.LEAVING)
        group.run_until(9_000.0)
        self.assertEqual(states(group, "node-00004"), {MemberState.LEAVING})

    def test_paused_node_comes_back_and_blames_nobody(self) -> None:
        group = create_group()
        group.silent.add("node-00004")
        group.run_until(40_000.0)
        group.silent.clear()
        group.run_until(100_000.0)
        self.assertEqual(states(group, "node-00004"), {MemberState.ALIVE})
        self.assertEqual({dead for _, _, dead in group.deaths}, {"node-00004"})

    def test_lone_observer_is_not_believed(self) -> None:
        """A node that hears nobody declares nobody dead, and others see only it missing."""
        group = create_group()
        group.is_cut = lambda sender, receiver: receiver == "node-00004"
        group.run_until(60_000.0)
        blamed_by_lone = [dead for _, observer, dead in group.deaths if observer == "node-00004"]
        self.assertEqual(blamed_by_lone, [])

    def test_regions_cut_for_an_hour_find_each_other_again(self) -> None:
        group = create_group()
        group.is_cut = lambda sender, receiver: region(sender) != region(receiver)
        group.run_until(_HOUR_MS)
        other = group.controllers["node-00001"].members["node-00002"]
        self.assertIs(other.state, MemberState.DEAD)
        group.is_cut = lambda sender, receiver: False
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

    def test_a_death_that_one_table_never_heard_of_is_no_difference(self) -> None:
        group = create_group(0.0)
        a, b = group.controllers["node-00001"], group.controllers["node-00002"]
        gone = attrs.evolve(a.local_member, node_id="gone", state=MemberState.ALIVE)
        a.on_record(3_000.0, gone, "gone")
        self.assertEqual(len(a.differing_buckets(b.digests())), 1)
        a.on_record(3_000.0, attrs.evolve(gone, state=MemberState.DEAD), "node-00003")
        self.assertEqual(a.differing_buckets(b.digests()), ())

    def test_a_table_that_missed_a_death_learns_it_from_another(self) -> None:
        group = create_group(0.0)
        a, b = group.controllers["node-00001"], group.controllers["node-00002"]
        dead = attrs.evolve(a.members["node-00003"], state=MemberState.DEAD)
        a.on_record(3_000.0, dead, "node-00004")
        for record in a.records_in(a.differing_buckets(b.digests())):
            b.on_record(3_000.0, decode_member(record), "node-00001")
        self.assertIs(b.members["node-00003"].state, MemberState.DEAD)
        self.assertEqual(a.differing_buckets(b.digests()), ())
