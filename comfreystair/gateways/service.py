"""Run statements that other instances forward to this gateway."""

from comfreystair.coordination.state import FleetState
from comfreystair.gateways.serialization import pack_outcome, unpack_request
from comfreystair.peers.messages import definitions
from comfreystair.peers.server import Method
from comfreystair.pooling.local_execution import (
    DeliveryFailure,
    LocalExecutor,
    build_failed_outcome,
)
from comfreystair.sessions.statements import StatementKind

_SHUTTING_DOWN = 'shutting down'


class GatewayService:
    """Peer methods by which other instances use this one's connections."""

    def __init__(self, state: FleetState, local: LocalExecutor) -> None:
        """Make the connections of this instance available to the others.

        :param state: tells whether this instance is draining.
        :param local: runs statements on this instance's connections.
        """
        self._state = state
        self._local = local

    def list_methods(self) -> dict[str, Method]:
        """Return the peer methods, by their name on the wire."""
        return {
            'run': Method(definitions.WorkRequest, self.run),
            'begin': Method(definitions.WorkRequest, self.begin),
            'run_pinned': Method(definitions.WorkRequest, self.run_pinned),
            'end_pinned': Method(definitions.WorkEnd, self.end_pinned),
        }

    async def run(self, message) -> object:
        """Run a single statement, unless this instance is draining."""
        if self._state.is_draining:
            return pack_outcome(
                build_failed_outcome(DeliveryFailure.away, _SHUTTING_DOWN)
            )
        request = unpack_request(message)
        return pack_outcome(await self._local.run(message.target, request))

    async def begin(self, message) -> object:
        """Open a transaction, unless this instance is draining."""
        if self._state.is_draining:
            return pack_outcome(
                build_failed_outcome(DeliveryFailure.away, _SHUTTING_DOWN)
            )
        request = unpack_request(message)
        is_read_only = request.statement.kind is StatementKind.begin_read
        outcome = await self._local.begin(
            message.target, message.handle, request, is_read_only
        )
        return pack_outcome(outcome)

    async def run_pinned(self, message) -> object:
        """Run a statement of an open transaction, also while draining."""
        request = unpack_request(message)
        return pack_outcome(
            await self._local.run_pinned(message.handle, request)
        )

    async def end_pinned(self, message) -> object:
        """Roll back a transaction, if it is still open."""
        await self._local.rollback(message.handle)
        return definitions.Empty()
