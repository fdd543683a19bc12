"""The operators' newest plan, as it was read and as it is used."""

from collections.abc import Callable

from comfreystair.coordination.records import StoredValue
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.serving import ServingPlan
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers.messages import definitions

ParsePlan = Callable[[StoredValue], ServingPlan]


class PlanCache:
    """Take plans over, never an older one, and hand the newest on."""

    def __init__(
        self, state: FleetState, parse: ParsePlan, log: DecisionLog
    ) -> None:
        """Start without a plan."""
        self._state = state
        self._parse = parse
        self._log = log
        self._item = StoredValue(b'', 0)

    @property
    def revision(self) -> int:
        """Return the newest plan's revision, 0 before the first."""
        return self._item.revision

    def update(self, item: StoredValue, asked_at: float, source: str) -> None:
        """Take in what was read.

        :param asked_at: when the read that proves it was sent.
        """
        if item.revision > self.revision:
            self._put_in_force(item, asked_at, source)
        if item.revision >= self.revision:
            self.record_proof(asked_at)

    def record_proof(self, asked_at: float) -> None:
        """Take in that the plan was the newest at a time."""
        state = self._state
        state.plan_proved_at = max(state.plan_proved_at, asked_at)

    async def handle_request(self, _request: object) -> object:
        """Answer another instance that lacks the plan."""
        return definitions.PlanDocument(
            revision=self._item.revision, content=self._item.blob
        )

    def _put_in_force(
        self, item: StoredValue, asked_at: float, source: str
    ) -> None:
        try:
            plan = self._parse(item)
        except ComfreystairError as error:
            self._log.write(
                'plan_refused', revision=item.revision, reason=error
            )
            return
        self._item = item
        self._state.plan = plan
        self._log.write(
            'plan_in_force',
            version=plan.version,
            revision=plan.revision,
            routes=len(plan.routes),
            source=source,
            asked_at=asked_at,
        )
