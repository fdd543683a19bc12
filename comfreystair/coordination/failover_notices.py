"""Tell instances of a change of primary, and confirm when told."""

from collections.abc import Awaitable, Callable
from typing import Final

import curio

from comfreystair.clocks import read_clock
from comfreystair.controllers.leadership import Leadership
from comfreystair.controllers.succession import is_missed_widely
from comfreystair.coordination.concurrency import run_concurrently
from comfreystair.coordination.proofs import decode_notice, encode_notice
from comfreystair.coordination.records import InstanceRecord
from comfreystair.coordination.state import FleetState, GroupState
from comfreystair.peers import PeerClients
from comfreystair.peers.messages import definitions

# Bound on one instance's confirmation, in seconds.
_CONFIRM_SECONDS: Final = 0.6
# How long writes that run may finish before an instance confirms, in seconds.
_FINISH_SECONDS: Final = 0.35
_LOOK_SECONDS: Final = 0.01
_ASK_SECONDS: Final = 0.3
# An instance that asked its primary nothing for this long has no say in
# whether it answers, in seconds.
_SILENT_SECONDS: Final = 1.0
_MILLISECONDS: Final = 1000
_NEVER_ASKED: Final = -1


class FailoverNotices:
    """What instances tell each other of primaries."""

    def __init__(
        self,
        state: FleetState,
        peers: PeerClients,
        hurry: Callable[[], Awaitable[None]],
        list_followers: Callable[[], list[str]],
    ) -> None:
        """Take the parts.

        :param hurry: asks for a proof now.
        :param list_followers: addresses of those that took proofs from here.
        """
        self._state = state
        self._peers = peers
        self._hurry = hurry
        self._list_followers = list_followers

    async def handle_notice(self, notice) -> object:
        """Stop using a primary that is being replaced, and confirm it."""
        await self.apply(notice.group, decode_notice(notice))
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation,
            heard_ms=_NEVER_ASKED,
            followers=self._list_followers(),
        )

    async def handle_inquiry(self, inquiry) -> object:
        """Tell when a group's primary last answered here."""
        group = self._state.find_group(inquiry.group)
        heard = read_clock() - group.answered_at
        is_silent = group.unreachable_since is None and heard > _SILENT_SECONDS
        milliseconds = _NEVER_ASKED if is_silent else int(heard * _MILLISECONDS)
        return definitions.GroupConfirmation(
            incarnation=self._state.own.incarnation, heard_ms=milliseconds
        )

    async def apply(self, name: str, record: Leadership) -> None:
        """Take in a record that is not a proof."""
        group = self._state.find_group(name)
        group.primary_tracker.learn(record, float('-inf'))
        if record.is_changing:
            await _finish_writes(group)
            group.primary_tracker.confirm(record.revision)
        else:
            await self._hurry()
        await group.notify_waiters()

    async def broadcast(
        self, group: str, record: Leadership, addresses: set[str]
    ) -> list[str]:
        """Hand a record to instances and to those with proofs from them.

        :returns: the addresses that did not confirm.
        """
        own = await curio.spawn(self.apply, group, record)
        waiting = addresses | set(self._list_followers())
        told = {self._state.own.address}
        silent: list[str] = []
        while waiting - told:
            untold = waiting - told
            told |= untold
            answers = await self._tell(group, record, untold)
            silent.extend(untold - answers.keys())
            waiting.update(*answers.values())
        await own.join()
        return silent

    async def publish(self, group: str, record: Leadership) -> None:
        """Hand a record to all instances on the list."""
        addresses = {one.address for one in self._state.instances.values()}
        await self.broadcast(group, record, addresses)

    async def is_widely_unreachable(self, group: str) -> bool:
        """Ask the other instances whether they miss a group's primary."""
        heard: list[float | None] = []

        async def ask(record: InstanceRecord) -> None:
            answer = await self._peers.call(
                record.address,
                'heard',
                definitions.GroupInquiry(group=group),
                definitions.GroupConfirmation,
                _ASK_SECONDS,
            )
            is_known = answer.heard_ms != _NEVER_ASKED
            heard.append(answer.heard_ms / _MILLISECONDS if is_known else None)

        own = self._state.own.name
        records = self._state.instances.values()
        await run_concurrently(ask, [one for one in records if one.name != own])
        return is_missed_widely(heard)

    async def _tell(
        self, group: str, record: Leadership, addresses: set[str]
    ) -> dict[str, list[str]]:
        """Hand a record to instances.

        :returns: the followers of each that confirmed, by its address.
        """
        notice = encode_notice(group, record)
        confirmed: dict[str, list[str]] = {}

        async def tell(address: str) -> None:
            answer = await self._peers.call(
                address,
                'group',
                notice,
                definitions.GroupConfirmation,
                _CONFIRM_SECONDS,
            )
            confirmed[address] = answer.followers or []

        await run_concurrently(tell, addresses)
        return confirmed


async def _finish_writes(group: GroupState) -> None:
    give_up_at = read_clock() + _FINISH_SECONDS
    while group.running_writes and read_clock() < give_up_at:
        await curio.sleep(_LOOK_SECONDS)
