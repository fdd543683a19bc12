"""Do the work that other instances hand over."""

from comfreystair.coordination.state import FleetState
from comfreystair.gateways.structures import pack_outcome, unpack_work
from comfreystair.peers.messages import definitions
from comfreystair.peers.server import Method
from comfreystair.pooling.local_execution import (
    LocalExecutor,
    DeliveryFailure,
    build_failed_outcome,
)
from comfreystair.sessions.statements import StatementKind

_LEAVING = 'shutting down'


class GatewayService:
    """Methods that other instances call."""

    def __init__(self, state: FleetState, local: LocalExecutor) -> None:
        """Take the parts."""
        self._state = state
        self._local = local

    def list_methods(self) -> dict[str, Method]:
        """Return the methods by name."""
        return {
            'run': Method(definitions.WorkRequest, self.run),
            'begin': Method(definitions.WorkRequest, self.begin),
            'run_pinned': Method(definitions.WorkRequest, self.run_pinned),
            'end_pinned': Method(definitions.WorkEnd, self.end_pinned),
        }

    async def run(self, request) -> object:
        """Run a single statement, unless this instance is to end."""
        if self._state.is_draining:
            return pack_outcome(
                build_failed_outcome(DeliveryFailure.away, _LEAVING)
            )
        work = unpack_work(request)
        return pack_outcome(await self._local.run(request.target, work))

    async def begin(self, request) -> object:
        """Open a transaction, unless this instance is to end."""
        if self._state.is_draining:
            return pack_outcome(
                build_failed_outcome(DeliveryFailure.away, _LEAVING)
            )
        work = unpack_work(request)
        is_read_only = work.statement.kind is StatementKind.begin_read
        outcome = await self._local.begin(
            request.target, request.handle, work, is_read_only
        )
        return pack_outcome(outcome)

    async def run_pinned(self, request) -> object:
        """Run a statement of an open transaction."""
        work = unpack_work(request)
        return pack_outcome(await self._local.run_pinned(request.handle, work))

    async def end_pinned(self, request) -> object:
        """Roll a transaction back."""
        await self._local.rollback(request.handle)
        return definitions.Empty()
