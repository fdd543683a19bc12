"""Run the specifications, and show that they catch broken decisions."""

import sys
import unittest

from minicheck import Protocol, check_safety

from comfreystair.controllers.places.evacuation import (
    Evacuations,
    ZoneEvacuation,
)
from comfreystair.controllers.primary_tracking import PrimaryTracker
from comfreystair.controllers.replica_logs import find_durable_end
from specs import (
    contacts,
    evacuation,
    failover,
    manifest,
    reads,
    shares,
    sync_replicas,
)

MAX_STATES = 1000000
MUTANT_STATES = 200000


class HastyEvacuations(Evacuations):
    """Dates each answer back to when its read was sent."""

    def update(
        self,
        zone: str,
        found: ZoneEvacuation,
        asked_at: float,
        now: float,
    ) -> bool:
        return super().update(zone, found, asked_at, asked_at)


class LateEvacuations(Evacuations):
    """Counts the bound from when the evacuation became known."""

    def may_send(self, zone: str, now: float) -> bool:
        state = self._states[zone]
        if not state.known.is_requested:
            return True
        return now < state.learned_at + self._send_seconds


class SpecificationTest(unittest.TestCase):
    """Every specification is checked to its last state."""

    def check(self, protocol: Protocol, bound: int = MAX_STATES) -> dict:
        """Explore states and print how many there were."""
        explored = check_safety(protocol, max_states=bound)
        count = explored['reachable_states']
        sys.stderr.write(f'  {protocol.name}: {count} states\n')
        return explored

    def assert_holds(self, protocol: Protocol) -> None:
        """Fail with the shortest trace when an invariant is broken."""
        explored = self.check(protocol)
        self.assertTrue(explored['exhaustive'])
        for name, found in explored['properties'].items():
            trace = [
                step['label'] for step in found.get('counterexample') or ()
            ]
            self.assertTrue(found['holds'], f'{name}: {trace}')

    def assert_refuted(self, protocol: Protocol, invariant: str) -> None:
        """Fail when a broken decision is not found out."""
        explored = self.check(protocol, MUTANT_STATES)
        self.assertIs(explored['properties'][invariant]['holds'], False)

    def test_evacuation_holds(self) -> None:
        """Crossed answers end no evacuation; its bound is kept."""
        self.assert_holds(evacuation.build())

    def test_evacuation_needs_a_later_read_to_end(self) -> None:
        """An answer that was sent before the news came ends it too early."""
        self.assert_refuted(
            evacuation.build(HastyEvacuations), 'stays_evacuated'
        )

    def test_evacuation_bound_counts_from_absence(self) -> None:
        """Counted from the news, the use goes on for too long."""
        self.assert_refuted(evacuation.build(LateEvacuations), 'keeps_bound')

    def test_failover_holds(self) -> None:
        """Acknowledged writes survive any two promoters."""
        self.assert_holds(failover.build())

    def test_failover_needs_the_most_advanced(self) -> None:
        """Promoting any fenced target loses an acknowledged write."""

        def choose_first(granted: dict, _members: int, _leaving) -> str:
            return min(granted)

        self.assert_refuted(
            failover.build(choose=choose_first), 'keeps_acknowledged'
        )

    def test_failover_needs_a_majority(self) -> None:
        """Acknowledging on the primary's word alone loses a write."""

        def judge_alone(commit, statuses: list, _majority: int) -> str:
            held = [one for one in statuses if one.received >= commit]
            return 'safe' if held else 'waiting'

        self.assert_refuted(
            failover.build(judge=judge_alone), 'keeps_acknowledged'
        )

    def test_contacts_hold(self) -> None:
        """A zone that is cut off stops before a new primary is promoted."""
        self.assert_holds(contacts.build())

    def test_contacts_are_needed(self) -> None:
        """Proofs alone outlive the shorter wait."""
        self.assert_refuted(
            contacts.build(build_tracker=PrimaryTracker), 'uses_one_primary'
        )

    def test_contacts_end_with_the_confirmation(self) -> None:
        """An instance that confirmed a failover must not give contacts."""

        def confirm_always(_tracker, _revision: int, _now: float) -> bool:
            return True

        self.assert_refuted(
            contacts.build(confirm=confirm_always), 'uses_one_primary'
        )

    def test_sync_replicas_hold(self) -> None:
        """Acknowledged commits survive any two replicas in trouble."""
        self.assert_holds(sync_replicas.build())

    def test_sync_replicas_need_all_logs(self) -> None:
        """The most advanced log that is heard may lack commits."""

        def ignore_unheard(received, _unheard, log_end, sync_replicas):
            return find_durable_end(received, 0, log_end, sync_replicas)

        self.assert_refuted(
            sync_replicas.build(find_end=ignore_unheard), 'keeps_acknowledged'
        )

    def test_sync_replicas_keep_losses_until_settled(self) -> None:
        """A log that was lost counts until others hold its commits."""

        def hold_always(_received, _position, _sync_replicas) -> bool:
            return True

        self.assert_refuted(
            sync_replicas.build(hold=hold_always), 'keeps_acknowledged'
        )

    def test_reads_hold(self) -> None:
        """A session reads what was acknowledged before it connected."""
        self.assert_holds(reads.build())

    def test_shares_hold(self) -> None:
        """Shares in use never add up to more than one."""
        self.assert_holds(shares.build())

    def test_manifest_holds(self) -> None:
        """Racing operators are told the truth and nothing reverts."""
        self.assert_holds(manifest.build())


if __name__ == '__main__':
    unittest.main()
