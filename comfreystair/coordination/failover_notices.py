"""Notices between instances about a failover, and their confirmations.

The instance that runs a failover tells the others to stop using the old
primary, and later which target is the new one.
"""

from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_failover import is_widely_unreachable
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.coordination.proofs import decode_notice, encode_notice
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.rendezvous import list_first
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.peers import PeerClients
from comfreystair.peers.messages import definitions

# Timeout of one instance's confirmation.
_CONFIRM_TIMEOUT_SECONDS: Final = 0.6
# How long running writes may take to finish before an instance confirms.
_WRITE_DRAIN_SECONDS: Final = 0.35
_POLL_INTERVAL_SECONDS: Final = 0.01
_REQUEST_TIMEOUT_SECONDS: Final = 0.3
# An instance that had no answer from the primary for this long, and no failed
# request, has not used it. It does not count when instances are asked whether
# the primary is reachable.
_UNUSED_AFTER_SECONDS: Final = 1.0
# How many instances are told of a primary that this one can't reach.
_NOTIFIED_CANDIDATES: Final = 3
_MILLISECONDS: Final = 1000
# Reported instead of longer times, so that they fit into a message.
_MAX_REPORTED_SECONDS: Final = 3600.0
# Sent in place of the time since the primary's last answer by an instance that
# has not used the primary, and in confirmations of notices.
_UNKNOWN_TIME: Final = -1


class Broadcast(NamedTuple):
    """Outcome of a record's broadcast.

    :param unconfirmed: addresses of the instances that did not confirm.
    :param confirmed_at: when the last confirmation arrived, this instance's
        own included.
    :param known: the newest records that the others knew before.
    """

    unconfirmed: list[str]
    confirmed_at: float
    known: list[PrimaryRecord]


class FailoverNotices:
    """Sends and answers notices about the primaries of groups."""

    def __init__(
        self,
        state: FleetState,
        peers: PeerClients,
        refresh_proofs: Callable[[], Awaitable[None]],
        list_followers: Callable[[], list[str]],
    ) -> None:
        """Initialise the notices of one instance.

        :param state: this instance's view of the fleet.
        :param peers: clients of the other instances.
        :param refresh_proofs: requests that the proofs are refreshed now.
        :param list_followers: returns the addresses of the instances that
            fetched proofs from this one.
        """
        self._state = state
        self._peers = peers
        self._refresh_proofs = refresh_proofs
        self._list_followers = list_followers

    async def handle_notice(self, notice) -> object:
        """Apply a notice of another instance and return a confirmation.

        If the notice announces a failover, the confirmation means that this
        instance no longer uses the old primary, and that no promotion that it
        has ordered itself is under way.

        :raises StoreRestoredError: when the notice is of an earlier era.
        """
        record = decode_notice(notice)
        self._state.store_era.observe(record.position.era, 'notice')
        group = self._state.find_group(notice.group)
        known = group.primary_tracker.record
        await self.apply(notice.group, record)
        while group.is_promoting:
            await curio.sleep(_POLL_INTERVAL_SECONDS)
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation,
            heard_ms=_UNKNOWN_TIME,
            followers=self._list_followers(),
            record=encode_notice(notice.group, known),
        )

    async def handle_inquiry(self, inquiry) -> object:
        """Return the time since a group's primary last answered here.

        The time is in milliseconds; ``_UNKNOWN_TIME`` if this instance has not
        used the primary lately.
        """
        group = self._state.find_group(inquiry.group)
        answer_age = read_clock() - group.answered_at
        is_unused = (
            group.unreachable_since is None
            and answer_age > _UNUSED_AFTER_SECONDS
        )
        milliseconds = _UNKNOWN_TIME if is_unused else _encode_age(answer_age)
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation, heard_ms=milliseconds
        )

    async def handle_unreachable(self, notice) -> object:
        """Record that another instance can't reach a group's primary.

        This only makes the monitor query the primary's status soon.
        """
        group = self._state.groups.get(notice.group)
        if group is not None and (
            notice.primary == group.primary_tracker.record.primary
        ):
            seconds = max(notice.unreachable_ms, 0) / _MILLISECONDS
            group.record_failure(read_clock() - seconds)
        return definitions.Empty()

    async def report_unreachable(self, group: str) -> None:
        """Tell the first-ranked instances of an unreachable primary.

        Each instance of a large fleet seldom uses one group, so those that
        start its failover would notice late.
        """
        found = self._state.find_group(group)
        since = found.unreachable_since
        if since is None:
            return
        notice = definitions.UnreachableNotice(
            group=group,
            primary=found.primary_tracker.record.primary,
            unreachable_ms=_encode_age(read_clock() - since),
        )

        async def tell(candidate: InstanceRecord) -> None:
            await self._peers.call(
                candidate.address,
                'unreachable',
                notice,
                definitions.Empty,
                _REQUEST_TIMEOUT_SECONDS,
            )

        # The list may be replaced while the first candidates are told.
        instances = self._state.instances
        names = list_first(group, instances, _NOTIFIED_CANDIDATES)
        own_name = self._state.own.name
        await run_concurrently(
            tell, [instances[name] for name in names if name != own_name]
        )

    async def apply(self, name: str, record: PrimaryRecord) -> None:
        """Apply a group's record from a notice, which is not a proof.

        Once the record is changing, no new request uses the primary, and
        running writes have a bounded time to finish before the old primary is
        fenced. A record of a completed failover has the proofs refreshed.
        """
        group = self._state.find_group(name)
        group.update_record(record, float('-inf'))
        if record.is_changing:
            await _drain_writes(group)
            group.primary_tracker.fence(record.position)
        else:
            await self._refresh_proofs()
        await group.notify_waiters()

    async def broadcast(
        self, group: str, record: PrimaryRecord, addresses: set[str]
    ) -> Broadcast:
        """Send a record to instances, and to the followers that they name.

        This instance applies the record as well.

        :param group: name of the database group.
        :param record: the record to send.
        :param addresses: addresses of the instances to tell.
        """
        own_task = await curio.spawn(self._apply_own, group, record)
        recipients = addresses | set(self._list_followers())
        notified = {self._state.own.address}
        unconfirmed: list[str] = []
        known: list[PrimaryRecord] = []
        confirmed_at = float('-inf')
        while recipients - notified:
            pending = recipients - notified
            notified |= pending
            answers = await self._send(group, record, pending)
            unconfirmed.extend(pending - answers.keys())
            for answer in answers.values():
                recipients.update(answer.followers)
                confirmed_at = max(confirmed_at, answer.received_at)
                known.append(answer.record)
        confirmed_at = max(confirmed_at, await own_task.join())
        return Broadcast(unconfirmed, confirmed_at, known)

    async def publish(self, group: str, record: PrimaryRecord) -> None:
        """Send a record to all listed instances and their followers."""
        addresses = {one.address for one in self._state.instances.values()}
        await self.broadcast(group, record, addresses)

    async def is_widely_unreachable(self, group: str) -> bool:
        """Ask the other instances whether a group's primary is unreachable.

        :returns: whether enough of the instances that answer can't reach it.
        """
        answer_ages: list[float | None] = []

        async def ask(record: InstanceRecord) -> None:
            answer = await self._peers.call(
                record.address,
                'heard',
                definitions.GroupInquiry(group=group),
                definitions.GroupConfirmation,
                _REQUEST_TIMEOUT_SECONDS,
            )
            is_known = answer.heard_ms != _UNKNOWN_TIME
            answer_ages.append(
                answer.heard_ms / _MILLISECONDS if is_known else None
            )

        own_name = self._state.own.name
        records = self._state.instances.values()
        await run_concurrently(
            ask, [one for one in records if one.name != own_name]
        )
        return is_widely_unreachable(answer_ages)

    async def _apply_own(self, group: str, record: PrimaryRecord) -> float:
        """Apply a record here and return the time at which it was done."""
        await self.apply(group, record)
        return read_clock()

    async def _send(
        self, group: str, record: PrimaryRecord, addresses: set[str]
    ) -> dict[str, '_Confirmation']:
        """Send a record to instances.

        :returns: the confirmations by address.
        """
        notice = encode_notice(group, record)
        confirmed: dict[str, _Confirmation] = {}

        async def send(address: str) -> None:
            answer = await self._peers.call(
                address,
                'group',
                notice,
                definitions.GroupConfirmation,
                _CONFIRM_TIMEOUT_SECONDS,
            )
            confirmed[address] = _Confirmation(
                answer.followers or [],
                read_clock(),
                decode_notice(answer.record) if answer.record else record,
            )

        await run_concurrently(send, addresses)
        return confirmed


class _Confirmation(NamedTuple):
    """Confirmation of one instance, with the addresses of its followers.

    :param record: the newest record that it knew before.
    """

    followers: list[str]
    received_at: float
    record: PrimaryRecord


def _encode_age(seconds: float) -> int:
    """Return a time in whole milliseconds, limited to an hour."""
    return int(min(seconds, _MAX_REPORTED_SECONDS) * _MILLISECONDS)


async def _drain_writes(group: GroupState) -> None:
    """Wait until no write runs, for at most ``_WRITE_DRAIN_SECONDS``."""
    give_up_at = read_clock() + _WRITE_DRAIN_SECONDS
    while group.running_writes and read_clock() < give_up_at:
        await curio.sleep(_POLL_INTERVAL_SECONDS)
