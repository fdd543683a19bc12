"""Notices between instances about a failover, and their confirmations.

The instance that runs a failover tells the others to stop using the old
primary, and later which target is the new one.
"""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.primary_failover import is_widely_unreachable
from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.coordination.proofs import decode_notice, encode_notice
from comfreystair.coordination.records import InstanceRecord
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
_MILLISECONDS: Final = 1000
# Sent in place of the time since the primary's last answer by an instance that
# has not used the primary, and in confirmations of notices.
_UNKNOWN_TIME: Final = -1


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
        instance no longer uses the old primary.
        """
        await self.apply(notice.group, decode_notice(notice))
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation,
            heard_ms=_UNKNOWN_TIME,
            followers=self._list_followers(),
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
        milliseconds = (
            _UNKNOWN_TIME if is_unused else int(answer_age * _MILLISECONDS)
        )
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation, heard_ms=milliseconds
        )

    async def apply(self, name: str, record: PrimaryRecord) -> None:
        """Apply a group's record from a notice, which is not a proof.

        Once the record is changing, no new request uses the primary, and
        running writes have a bounded time to finish before the old primary is
        fenced. A record of a completed failover has the proofs refreshed.
        """
        group = self._state.find_group(name)
        group.primary_tracker.update(record, float('-inf'))
        if record.is_changing:
            await _drain_writes(group)
            group.primary_tracker.fence(record.revision)
        else:
            await self._refresh_proofs()
        await group.notify_waiters()

    async def broadcast(
        self, group: str, record: PrimaryRecord, addresses: set[str]
    ) -> list[str]:
        """Send a record to instances, and to the followers that they name.

        This instance applies the record as well.

        :param group: name of the database group.
        :param record: the record to send.
        :param addresses: addresses of the instances to tell.
        :returns: the addresses of the instances that did not confirm.
        """
        own_task = await curio.spawn(self.apply, group, record)
        recipients = addresses | set(self._list_followers())
        notified = {self._state.own.address}
        unconfirmed: list[str] = []
        while recipients - notified:
            pending = recipients - notified
            notified |= pending
            answers = await self._send(group, record, pending)
            unconfirmed.extend(pending - answers.keys())
            recipients.update(*answers.values())
        await own_task.join()
        return unconfirmed

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

    async def _send(
        self, group: str, record: PrimaryRecord, addresses: set[str]
    ) -> dict[str, list[str]]:
        """Send a record to instances.

        :returns: by address, the followers of each instance that confirmed.
        """
        notice = encode_notice(group, record)
        confirmed: dict[str, list[str]] = {}

        async def send(address: str) -> None:
            answer = await self._peers.call(
                address,
                'group',
                notice,
                definitions.GroupConfirmation,
                _CONFIRM_TIMEOUT_SECONDS,
            )
            confirmed[address] = answer.followers or []

        await run_concurrently(send, addresses)
        return confirmed


async def _drain_writes(group: GroupState) -> None:
    """Wait until no write runs, for at most ``_WRITE_DRAIN_SECONDS``."""
    give_up_at = read_clock() + _WRITE_DRAIN_SECONDS
    while group.running_writes and read_clock() < give_up_at:
        await curio.sleep(_POLL_INTERVAL_SECONDS)
