"""Exchange of proofs between instances.

A proof shows that the plan or a group's record was the newest in the store at
a time. One instance of each availability zone, the reader, gets proofs from
the store; the others, its followers, fetch them from the reader. The age of a
proof counts from when the read of the store was sent, and a follower adds the
time since it sent its own request. So no delay on the network makes a proof
look younger than it is.
"""

from collections.abc import Awaitable, Callable
from typing import Final

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_tracking import (
    PROOF_TTL_SECONDS,
    PrimaryRecord,
)
from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.evacuations import EvacuationKeys
from comfreystair.coordination.plan_cache import PlanCache
from comfreystair.coordination.records import InstanceRecord, StoredValue
from comfreystair.coordination.rendezvous import find_rank
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import PeerClients
from comfreystair.peers.messages import definitions

# Timeout of a request for proofs.
_PROOF_TIMEOUT_SECONDS: Final = 0.2
_PLAN_TIMEOUT_SECONDS: Final = 0.5
# An instance that gave no usable proof is not asked again for this long.
_AVOID_DURATION_SECONDS: Final = 2.0
# Greatest accepted age of a proof from another instance: a little more than the
# interval at which readers refresh theirs.
_MAX_PROOF_AGE_SECONDS: Final = 1.3


class ProofExchange:
    """Serves this instance's proofs to others, and fetches theirs."""

    def __init__(
        self,
        state: FleetState,
        plans: PlanCache,
        peers: PeerClients,
        read_plan: Callable[[], Awaitable[StoredValue]],
        evacuations: EvacuationKeys,
        log: DecisionLog,
    ) -> None:
        """Initialise an exchange without followers.

        :param state: this instance's view of the fleet, with the proofs.
        :param plans: the newest plan.
        :param peers: clients of the other instances.
        :param read_plan: reads the plan from the store, which may return an
            outdated one.
        :param evacuations: the evacuations of zones.
        :param log: receives an event when a source is avoided.
        """
        self._read_plan = read_plan
        self._plans = plans
        self._evacuations = evacuations
        self._state = state
        self._peers = peers
        self._log = log
        self._followers: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    def list_followers(self) -> list[str]:
        """Return the addresses of instances that may hold proofs from here.

        These are the instances that fetched proofs within twice the validity
        of a proof.
        """
        oldest = read_clock() - 2 * PROOF_TTL_SECONDS
        self._followers = {
            address: at
            for address, at in self._followers.items()
            if at > oldest
        }
        return list(self._followers)

    def list_sources(self) -> list[InstanceRecord]:
        """Return each zone's reader, to be asked for proofs.

        The reader of the own zone comes first; it is left out when it is this
        instance.
        """
        zones = {one.zone for one in self._state.instances.values()}
        readers = {zone: self._find_reader(zone) for zone in sorted(zones)}
        own = self._state.own
        own_reader = readers.pop(own.zone, None)
        other_readers = [one for one in readers.values() if one is not None]
        if own_reader is None or own_reader.name == own.name:
            return other_readers
        return [own_reader, *other_readers]

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance reads the store for its zone."""
        reader = self._find_reader(self._state.own.zone)
        return reader is None or reader.name == self._state.own.name

    async def handle_request(self, request) -> object:
        """Return all proofs held here to another instance.

        The instance counts as a follower from now on.
        """
        now = read_clock()
        self._followers[request.address] = now
        return definitions.Proof(
            era=self._state.store_era.current,
            plan_version=self._plans.version,
            plan_revision=self._plans.position.revision,
            plan_age_seconds=self._state.find_plan_age(now),
            store_age_seconds=now - self._state.store_read_at,
            groups=[
                definitions.GroupProof(
                    record=encode_notice(name, group.primary_tracker.record),
                    age_seconds=group.primary_tracker.find_proof_age(now),
                )
                for name, group in self._state.groups.items()
            ],
            evacuations=self._evacuations.encode(),
        )

    async def fetch_from(self, source: InstanceRecord) -> bool:
        """Fetch another instance's proofs and apply them.

        A source that fails, or whose proof is too old or of an older plan, is
        not asked again for ``_AVOID_DURATION_SECONDS``.

        :returns: whether the proofs are usable.
        """
        asked_at = read_clock()
        request = definitions.ProofRequest(address=self._state.own.address)
        try:
            proof = await self._peers.call(
                source.address,
                'proof',
                request,
                definitions.Proof,
                _PROOF_TIMEOUT_SECONDS,
            )
            self._state.store_era.observe(proof.era or 0, source.name)
            await self._fetch_newer_plan(source, proof)
        except ComfreystairError as error:
            self._avoid(source, str(error))
            return False
        self._evacuations.apply_proofs(
            proof.evacuations or (), asked_at, source.name
        )
        version = proof.plan_version or 0
        if not version and not self._plans.version:
            # Neither side has a plan. That is a proof as well, if the source
            # has read the store recently.
            return proof.store_age_seconds <= _MAX_PROOF_AGE_SECONDS
        is_stale = proof.plan_age_seconds > _MAX_PROOF_AGE_SECONDS
        if is_stale or version < self._plans.version:
            self._avoid(
                source,
                f'outdated proof or plan, {proof.plan_age_seconds:.1f} s old',
            )
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

    async def _fetch_newer_plan(self, source: InstanceRecord, proof) -> None:
        """Fetch the plan that a proof refers to, if it is newer.

        The plan is read from the store first. Its network link has a far
        higher bandwidth than that of an instance, which all others of the zone
        would ask for the plan at once.

        :raises PeerError: when the source does not return the plan either.
        """
        version = proof.plan_version or 0
        if version <= self._plans.version:
            return
        try:
            found = await self._read_plan()
        except ComfreystairError as error:
            self._log.write('plan_not_fetched', reason=error)
        else:
            self._plans.update(found, float('-inf'), 'store')
        if version <= self._plans.version:
            return
        document = await self._peers.call(
            source.address,
            'plan',
            definitions.Empty(),
            definitions.PlanDocument,
            _PLAN_TIMEOUT_SECONDS,
        )
        position = StorePosition(document.era or 0, document.revision)
        stored = StoredValue(document.content, position)
        self._plans.update(stored, float('-inf'), source.name)

    def _avoid(self, source: InstanceRecord, reason: str) -> None:
        """Exclude an instance from being a reader for a limited time."""
        self._avoided_until[source.incarnation] = (
            read_clock() + _AVOID_DURATION_SECONDS
        )
        self._log.write('source_avoided', source=source.name, reason=reason)

    def _find_reader(self, zone: str) -> InstanceRecord | None:
        """Return a zone's reader; nothing when all instances are avoided.

        It is the instance with the first rank among those that are not
        avoided.
        """
        now = read_clock()
        candidates = [
            one
            for one in self._state.instances.values()
            if one.zone == zone
            and self._avoided_until.get(one.incarnation, now) <= now
        ]
        names = [one.name for one in candidates]
        return min(
            candidates,
            key=lambda one: find_rank('reader', names, one.name),
            default=None,
        )


async def update_primary_record(
    state: FleetState,
    log: DecisionLog,
    name: str,
    record: PrimaryRecord,
    asked_at: float,
) -> None:
    """Update the known record of a group and its proof.

    A record that is older than the known one is ignored. A changing record is
    stored, but gives no proof.

    :param name: name of the database group.
    :param record: the record as it was read.
    :param asked_at: when the read that proves it was sent.
    """
    group = state.find_group(name)
    age = group.primary_tracker.find_proof_age(read_clock())
    if group.update_record(record, asked_at):
        log.write(
            'leadership',
            group=name,
            primary=record.primary,
            term=record.term,
            is_changing=record.is_changing,
            is_restored=record.is_restored,
            era=record.position.era,
            revision=record.position.revision,
            proof_age=age,
        )
    await group.notify_waiters()


def encode_notice(group: str, record: PrimaryRecord) -> object:
    """Encode a group's record as a message to other instances."""
    return definitions.GroupNotice(
        group=group,
        primary=record.primary,
        term=record.term,
        is_changing=record.is_changing,
        revision=record.position.revision,
        era=record.position.era,
        is_restored=record.is_restored,
    )


def decode_notice(notice) -> PrimaryRecord:
    """Decode a group's record from a message of another instance."""
    position = StorePosition(notice.era or 0, notice.revision)
    return PrimaryRecord(
        notice.primary,
        notice.term,
        notice.is_changing,
        position,
        bool(notice.is_restored),
    )
