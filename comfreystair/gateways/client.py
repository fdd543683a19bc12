"""Run statements on the instance that holds a target's connections."""

import itertools
from typing import Final, NamedTuple

import curio

from comfreystair.coordination.records import InstanceRecord
from comfreystair.gateways.selector import GatewaySelector
from comfreystair.gateways.serialization import pack_request, unpack_outcome
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers import (
    PeerClients,
    PeerError,
    PeerRefusedError,
    PeerSilentError,
    PeerUnreachedError,
)
from comfreystair.peers.messages import definitions
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    LocalExecutor,
    Outcome,
    StatementRequest,
    build_failed_outcome,
)
from comfreystair.pooling.targets import TargetEntry

# Time reserved for the round trip to a gateway, so that the gateway reports an
# unresponsive target before the call times out.
_ROUND_TRIP_SECONDS: Final = 0.02
_MIN_CALL_SECONDS: Final = 0.03
_ROLLBACK_CALL_SECONDS: Final = 0.5
# The gateway could not be asked, did not answer or does not hold connections.
_GATEWAY_FAILURES: Final = frozenset(
    (DeliveryFailure.away, DeliveryFailure.silent)
)
# The failure may be that of the gateway or its network, not of the target.
_AMBIGUOUS_FAILURES: Final = frozenset(
    (DeliveryFailure.lost, DeliveryFailure.silent)
)


class PinnedTransaction(NamedTuple):
    """An open transaction, bound to one connection.

    :param gateway: the instance that holds the connection.
    :param handle: identifies the transaction at the gateway.
    """

    entry: TargetEntry
    gateway: InstanceRecord
    handle: str


class GatewayClient:
    """Run statements on local connections or forward them to a gateway."""

    def __init__(
        self,
        own: InstanceRecord,
        selector: GatewaySelector,
        local: LocalExecutor,
        peers: PeerClients,
        log: DecisionLog,
    ) -> None:
        """Connect the client to local connections and to other instances.

        :param own: the record of this instance.
        :param selector: selects the gateway for each statement.
        :param local: runs statements on this instance's connections.
        :param peers: calls the methods of :class:`GatewayService`.
        :param log: receives an event for each failed call to a gateway.
        """
        self._own = own
        self._selector = selector
        self._local = local
        self._peers = peers
        self._log = log
        self._transaction_numbers = itertools.count(1)

    async def run(
        self, entry: TargetEntry, request: StatementRequest
    ) -> Outcome:
        """Run a single statement at the gateway selected for it."""
        gateway = self._selector.select(entry, request.organisation)
        if self._is_local(gateway):
            return await self._local.run(entry.ident, request)
        message = pack_request(_reserve_round_trip(request), entry.ident)
        outcome = await self._call_gateway(
            gateway, 'run', message, request.timeout_seconds
        )
        return self._record_outcome(gateway, entry, outcome)

    async def begin(
        self, entry: TargetEntry, request: StatementRequest, is_read_only: bool
    ) -> tuple[Outcome, PinnedTransaction]:
        """Open a transaction at the gateway selected for it.

        :returns: the outcome, and the transaction, open only on success.
        """
        gateway = self._selector.select(entry, request.organisation)
        handle = f'{self._own.incarnation}/{next(self._transaction_numbers)}'
        pinned = PinnedTransaction(entry, gateway, handle)
        if self._is_local(gateway):
            outcome = await self._local.begin(
                entry.ident, handle, request, is_read_only
            )
            return outcome, pinned
        message = pack_request(
            _reserve_round_trip(request), entry.ident, handle
        )
        outcome = await self._call_gateway(
            gateway, 'begin', message, request.timeout_seconds
        )
        if outcome.delivery_failure in _GATEWAY_FAILURES and outcome.is_sent:
            # The gateway may have opened the transaction, and nothing would
            # use it.
            await self.rollback(pinned)
        return self._record_outcome(gateway, entry, outcome), pinned

    async def run_pinned(
        self, pinned: PinnedTransaction, request: StatementRequest
    ) -> Outcome:
        """Run a statement of an open transaction on its connection."""
        gateway = pinned.gateway
        if self._is_local(gateway):
            return await self._local.run_pinned(pinned.handle, request)
        message = pack_request(
            _reserve_round_trip(request), handle=pinned.handle
        )
        outcome = await self._call_gateway(
            gateway, 'run_pinned', message, request.timeout_seconds
        )
        # Nothing was sent to the target, as when the gateway has rolled the
        # transaction back. This says nothing about the target.
        if (
            outcome.delivery_failure is DeliveryFailure.lost
            and not outcome.is_sent
        ):
            return outcome
        return self._record_outcome(gateway, pinned.entry, outcome)

    async def rollback(self, pinned: PinnedTransaction) -> None:
        """Roll a transaction back, if it is still open.

        A rollback at a gateway runs in the background. If the call fails, the
        gateway rolls the transaction back once it has been idle too long.
        """
        if self._is_local(pinned.gateway):
            await self._local.rollback(pinned.handle)
            return
        await curio.spawn(self._rollback_at_gateway, pinned, daemon=True)

    def _is_local(self, gateway: InstanceRecord) -> bool:
        return gateway.name == self._own.name

    async def _rollback_at_gateway(self, pinned: PinnedTransaction) -> None:
        try:
            await self._peers.call(
                pinned.gateway.address,
                'end_pinned',
                definitions.WorkEnd(handle=pinned.handle),
                definitions.Empty,
                _ROLLBACK_CALL_SECONDS,
            )
        except PeerError as error:
            self._log.write(
                'rollback_lost', target=pinned.entry.ident, why=error
            )

    async def _call_gateway(
        self, gateway: InstanceRecord, method: str, message, seconds: float
    ) -> Outcome:
        try:
            reply = await self._peers.call(
                gateway.address,
                method,
                message,
                definitions.WorkOutcome,
                max(seconds, _MIN_CALL_SECONDS),
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
        return unpack_outcome(reply)

    def _record_outcome(
        self, gateway: InstanceRecord, entry: TargetEntry, outcome: Outcome
    ) -> Outcome:
        """Mark a failed gateway and return the outcome for the caller.

        If one gateway loses a target, the target or only the network between
        them may have failed. If one gateway does not answer, it alone may have
        failed, or its whole availability zone may be cut off. The target
        therefore counts as lost only if a second gateway fails as well.
        """
        trouble = outcome.delivery_failure
        if trouble in _GATEWAY_FAILURES:
            self._selector.mark_unavailable(gateway)
            self._log.write(
                'gateway_avoided',
                gateway=gateway.name,
                target=entry.ident,
                why=outcome.reason,
                is_sent=outcome.is_sent,
            )
        if trouble not in _AMBIGUOUS_FAILURES:
            return outcome
        is_lost = self._selector.mark_target_unreachable(gateway, entry.ident)
        return outcome._replace(
            delivery_failure=DeliveryFailure.lost
            if is_lost
            else DeliveryFailure.away
        )


def _reserve_round_trip(request: StatementRequest) -> StatementRequest:
    seconds = max(
        request.timeout_seconds - _ROUND_TRIP_SECONDS, _MIN_CALL_SECONDS
    )
    return request._replace(timeout_seconds=seconds)
