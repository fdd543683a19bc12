"""Hand proofs on between instances.

One instance of each availability zone reads the store; the others ask it. A
proof's age is counted from when the store was asked, and by who takes it over
from when it asked, so that no delay makes a proof look younger than it is.
"""

from collections.abc import Awaitable, Callable
from typing import Final

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import PROOF_SECONDS, Leadership
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.records import InstanceRecord, StoredValue
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients, PeerError
from comfreystair.peers.messages import definitions

# Bound on asking for a proof, in seconds.
_ASK_SECONDS: Final = 0.2
_FETCH_SECONDS: Final = 0.5
# An instance without a young proof is not asked again for this long, in
# seconds.
_AVOID_SECONDS: Final = 2.0
# A proof handed on may be this old, in seconds: the readers' interval and a
# little more.
_MOST_AGE_SECONDS: Final = 1.3


class ProofExchange:
    """Give proofs to other instances, and take theirs."""

    def __init__(
        self,
        state: FleetState,
        plans: PlanCache,
        peers: PeerClients,
        fetch: Callable[[], Awaitable[StoredValue]],
        log: DecisionLog,
    ) -> None:
        """Take the parts.

        :param fetch: reads the plan from the store, maybe an old one.
        """
        self._fetch = fetch
        self._plans = plans
        self._state = state
        self._peers = peers
        self._log = log
        self._followers: dict[str, float] = {}
        self._avoided: dict[str, float] = {}

    def list_followers(self) -> list[str]:
        """Return the addresses of those that may hold proofs from here."""
        oldest = read_clock() - 2 * PROOF_SECONDS
        self._followers = {
            address: at
            for address, at in self._followers.items()
            if at > oldest
        }
        return list(self._followers)

    def list_sources(self) -> list[InstanceRecord]:
        """Return whom to ask: first the own zone's reader, then others'.

        The own zone's part is missing where this instance is the reader.
        """
        zones = {one.zone for one in self._state.instances.values()}
        readers = {zone: self._find_reader(zone) for zone in sorted(zones)}
        own = self._state.own
        near = readers.pop(own.zone, None)
        far = [one for one in readers.values() if one is not None]
        if near is None or near.name == own.name:
            return far
        return [near, *far]

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance reads the store for its zone."""
        reader = self._find_reader(self._state.own.zone)
        return reader is None or reader.name == self._state.own.name

    async def handle_request(self, request) -> object:
        """Answer another instance with all proofs held here."""
        now = read_clock()
        self._followers[request.address] = now
        return definitions.Proof(
            plan_revision=self._plans.revision,
            plan_age_seconds=self._state.find_plan_age(now),
            store_age_seconds=now - self._state.store_read_at,
            groups=[
                definitions.GroupProof(
                    record=encode_notice(name, group.primary_tracker.record),
                    age_seconds=group.primary_tracker.find_proof_age(now),
                )
                for name, group in self._state.groups.items()
            ],
        )

    async def fetch_from(self, source: InstanceRecord) -> bool:
        """Take over another instance's proofs; tell whether they will do."""
        asked_at = read_clock()
        request = definitions.ProofRequest(address=self._state.own.address)
        try:
            proof = await self._peers.call(
                source.address,
                'proof',
                request,
                definitions.Proof,
                _ASK_SECONDS,
            )
            await self._catch_up(source, proof)
        except PeerError as error:
            self._avoid(source, str(error))
            return False
        if not proof.plan_revision and not self._plans.revision:
            # There is no plan yet; who reads the store says so.
            return proof.store_age_seconds <= _MOST_AGE_SECONDS
        is_old = proof.plan_age_seconds > _MOST_AGE_SECONDS
        if is_old or proof.plan_revision < self._plans.revision:
            self._avoid(source, f'proof of {proof.plan_age_seconds:.1f} s')
            return False
        self._plans.record_proof(asked_at - proof.plan_age_seconds)
        for one in proof.groups:
            await update_primary_record(
                self._state,
                self._log,
                one.record.group,
                decode_notice(one.record),
                asked_at - one.age_seconds,
            )
        return True

    async def _catch_up(self, source: InstanceRecord, proof) -> None:
        """Fetch the plan that a proof is of, if it is newer.

        The store has a far wider link than an instance, of which all the
        others of the zone would ask for the plan at once.
        """
        if proof.plan_revision <= self._plans.revision:
            return
        try:
            found = await self._fetch()
        except ComfreystairError as error:
            self._log.write('plan_not_fetched', reason=error)
        else:
            self._plans.update(found, float('-inf'), 'store')
        if proof.plan_revision <= self._plans.revision:
            return
        read = await self._peers.call(
            source.address,
            'plan',
            definitions.Empty(),
            definitions.PlanDocument,
            _FETCH_SECONDS,
        )
        item = StoredValue(read.content, read.revision)
        self._plans.update(item, float('-inf'), source.name)

    def _avoid(self, source: InstanceRecord, reason: str) -> None:
        self._avoided[source.incarnation] = read_clock() + _AVOID_SECONDS
        self._log.write('source_avoided', source=source.name, reason=reason)

    def _find_reader(self, zone: str) -> InstanceRecord | None:
        now = read_clock()
        ready = [
            one
            for one in self._state.instances.values()
            if one.zone == zone
            and self._avoided.get(one.incarnation, now) <= now
        ]
        names = [one.name for one in ready]
        return min(
            ready,
            key=lambda one: find_rank('reader', names, one.name),
            default=None,
        )


async def update_primary_record(
    state: FleetState,
    log: DecisionLog,
    name: str,
    record: Leadership,
    asked_at: float,
) -> None:
    """Take in a group's record.

    :param asked_at: when the read that proves it was sent.
    """
    group = state.find_group(name)
    age = group.primary_tracker.find_proof_age(read_clock())
    if group.primary_tracker.learn(record, asked_at):
        log.write(
            'leadership',
            group=name,
            primary=record.primary,
            term=record.term,
            is_changing=record.is_changing,
            revision=record.revision,
            proof_age=age,
        )
    await group.notify_waiters()


def encode_notice(group: str, record: Leadership) -> object:
    """Return a group's record as it is sent."""
    return definitions.GroupNotice(
        group=group,
        primary=record.primary,
        term=record.term,
        is_changing=record.is_changing,
        revision=record.revision,
    )


def decode_notice(notice) -> Leadership:
    """Return a group's record as it was sent."""
    return Leadership(
        notice.primary, notice.term, notice.is_changing, notice.revision
    )
