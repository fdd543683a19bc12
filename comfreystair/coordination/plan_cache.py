"""The newest plan of the operators that this instance has read.

The plan is kept both as it is stored, for other instances that ask for it, and
parsed, for use here.
"""

from collections.abc import Callable

from comfreystair.coordination.records import StoredValue
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.serving import ServingPlan
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers.messages import definitions

ParsePlan = Callable[[StoredValue], ServingPlan]


class PlanCache:
    """Holds the newest plan and never replaces it by an older one."""

    def __init__(
        self, state: FleetState, parse: ParsePlan, log: DecisionLog
    ) -> None:
        """Initialise without a plan.

        :param state: receives the plan in force and the time of its proof.
        :param parse: parses a plan; may raise :class:`ComfreystairError`.
        :param log: receives an event for each plan in force or refused.
        """
        self._state = state
        self._parse = parse
        self._log = log
        self._stored = StoredValue(b'', 0)

    @property
    def revision(self) -> int:
        """Return the newest plan's revision, 0 before the first."""
        return self._stored.revision

    def update(self, stored: StoredValue, asked_at: float, source: str) -> None:
        """Apply a plan as it was read, unless it is older than the known one.

        A plan that can't be parsed is logged and ignored.

        :param asked_at: when the read was sent, if it proves that the plan was
            the newest at that time; else negative infinity.
        :param source: where it was read, for the log.
        """
        if stored.revision > self.revision:
            self._activate(stored, asked_at, source)
        elif stored.revision < self.revision:
            self._log.write(
                'plan_set_aside',
                revision=stored.revision,
                known_revision=self.revision,
                source=source,
            )
        if stored.revision >= self.revision:
            self.record_proof(asked_at)

    def record_proof(self, asked_at: float) -> None:
        """Record that the known plan was the newest at a time."""
        state = self._state
        state.plan_proved_at = max(state.plan_proved_at, asked_at)

    async def handle_request(self, _request: object) -> object:
        """Return the newest plan to another instance."""
        return definitions.PlanDocument(
            revision=self._stored.revision, content=self._stored.blob
        )

    def _activate(
        self, stored: StoredValue, asked_at: float, source: str
    ) -> None:
        """Parse a newer plan and put it in force."""
        try:
            plan = self._parse(stored)
        except ComfreystairError as error:
            self._log.write(
                'plan_refused', revision=stored.revision, reason=error
            )
            return
        self._stored = stored
        self._state.plan = plan
        self._log.write(
            'plan_in_force',
            version=plan.version,
            revision=plan.revision,
            routes=len(plan.routes),
            source=source,
            asked_at=asked_at,
        )
