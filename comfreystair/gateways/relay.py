"""Have work done where a target's connections are, here or elsewhere."""

import itertools
from typing import Final, NamedTuple

import curio

from comfreystair.coordination.records import InstanceRecord
from comfreystair.gateways.book import GatewayBook
from comfreystair.gateways.structures import pack_work, unpack_outcome
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import (
    PeerClients,
    PeerError,
    PeerRefusedError,
    PeerSilentError,
    PeerUnreachedError,
)
from comfreystair.peers.messages import definitions
from comfreystair.pooling.targets import TargetEntry
from comfreystair.pooling.local_execution import (
    LocalExecutor,
    Outcome,
    DeliveryFailure,
    StatementRequest,
    build_failed_outcome,
)

# Kept of the time for the way to a gateway and back, in seconds, so that its
# own word of a silent target comes before time is up.
_WAY_SECONDS: Final = 0.02
_LEAST_SECONDS: Final = 0.03
_END_SECONDS: Final = 0.5
_GONE: Final = frozenset((DeliveryFailure.away, DeliveryFailure.silent))
_DOUBTFUL: Final = frozenset((DeliveryFailure.lost, DeliveryFailure.silent))


class Pinned(NamedTuple):
    """An open transaction.

    :param gateway: the instance that has its connection.
    """

    entry: TargetEntry
    gateway: InstanceRecord
    handle: str


class Relay:
    """Run work on own connections or hand it to a gateway."""

    def __init__(
        self,
        own: InstanceRecord,
        book: GatewayBook,
        local: LocalExecutor,
        peers: PeerClients,
        log: DecisionLog,
    ) -> None:
        """Take the parts."""
        self._own = own
        self._book = book
        self._local = local
        self._peers = peers
        self._log = log
        self._numbers = itertools.count(1)

    async def run(self, entry: TargetEntry, work: StatementRequest) -> Outcome:
        """Run a single statement."""
        gateway = self._book.find(entry, work.organisation)
        if self._is_own(gateway):
            return await self._local.run(entry.ident, work)
        request = pack_work(_shorten(work), entry.ident)
        outcome = await self._ask(gateway, 'run', request, work.timeout_seconds)
        return self._note(gateway, entry, outcome)

    async def begin(
        self, entry: TargetEntry, work: StatementRequest, is_read_only: bool
    ) -> tuple[Outcome, Pinned]:
        """Open a transaction."""
        gateway = self._book.find(entry, work.organisation)
        handle = f'{self._own.incarnation}/{next(self._numbers)}'
        pinned = Pinned(entry, gateway, handle)
        if self._is_own(gateway):
            outcome = await self._local.begin(
                entry.ident, handle, work, is_read_only
            )
            return outcome, pinned
        request = pack_work(_shorten(work), entry.ident, handle)
        outcome = await self._ask(
            gateway, 'begin', request, work.timeout_seconds
        )
        if outcome.delivery_failure in _GONE and outcome.is_sent:
            # It may be open there by now, and nobody would use it.
            await self.end(pinned)
        return self._note(gateway, entry, outcome), pinned

    async def run_pinned(
        self, pinned: Pinned, work: StatementRequest
    ) -> Outcome:
        """Run a statement of an open transaction."""
        gateway = pinned.gateway
        if self._is_own(gateway):
            return await self._local.run_pinned(pinned.handle, work)
        request = pack_work(_shorten(work), handle=pinned.handle)
        outcome = await self._ask(
            gateway, 'run_pinned', request, work.timeout_seconds
        )
        if (
            outcome.delivery_failure is DeliveryFailure.lost
            and not outcome.is_sent
        ):
            return outcome
        return self._note(gateway, pinned.entry, outcome)

    async def end(self, pinned: Pinned) -> None:
        """Roll a transaction back, if it is still open.

        Nobody waits for a gateway: it rolls back by itself what is left.
        """
        if self._is_own(pinned.gateway):
            await self._local.rollback(pinned.handle)
            return
        await curio.spawn(self._end_elsewhere, pinned, daemon=True)

    def _is_own(self, gateway: InstanceRecord) -> bool:
        return gateway.name == self._own.name

    async def _end_elsewhere(self, pinned: Pinned) -> None:
        try:
            await self._peers.call(
                pinned.gateway.address,
                'end_pinned',
                definitions.WorkEnd(handle=pinned.handle),
                definitions.Empty,
                _END_SECONDS,
            )
        except PeerError as error:
            self._log.write(
                'rollback_lost', target=pinned.entry.ident, why=error
            )

    async def _ask(
        self, gateway: InstanceRecord, method: str, request, seconds: float
    ) -> Outcome:
        try:
            sent = await self._peers.call(
                gateway.address,
                method,
                request,
                definitions.WorkOutcome,
                max(seconds, _LEAST_SECONDS),
            )
        except PeerRefusedError as error:
            return build_failed_outcome(DeliveryFailure.away, str(error))
        except (PeerUnreachedError, PeerSilentError) as error:
            is_sent = isinstance(error, PeerSilentError)
            return build_failed_outcome(
                DeliveryFailure.silent, str(error), is_sent
            )
        except PeerError as error:
            return build_failed_outcome(
                DeliveryFailure.away, str(error), is_sent=True
            )
        return unpack_outcome(sent)

    def _note(
        self, gateway: InstanceRecord, entry: TargetEntry, outcome: Outcome
    ) -> Outcome:
        """Learn from an outcome which gateways to leave alone.

        One gateway alone can't tell a lost target from its own lost way, nor
        its silence a cut zone from its own.
        """
        trouble = outcome.delivery_failure
        if trouble in _GONE:
            self._book.avoid(gateway)
            self._log.write(
                'gateway_avoided',
                gateway=gateway.name,
                target=entry.ident,
                why=outcome.reason,
                is_sent=outcome.is_sent,
            )
        if trouble not in _DOUBTFUL:
            return outcome
        is_lost = self._book.avoid_for(gateway, entry.ident)
        return outcome._replace(
            delivery_failure=DeliveryFailure.lost
            if is_lost
            else DeliveryFailure.away
        )


def _shorten(work: StatementRequest) -> StatementRequest:
    seconds = max(work.timeout_seconds - _WAY_SECONDS, _LEAST_SECONDS)
    return work._replace(timeout_seconds=seconds)
