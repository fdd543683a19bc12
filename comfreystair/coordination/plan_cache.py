"""The newest plan of the operators that this instance has read.

The plan is kept both as it is stored, for other instances that ask for it, and
parsed, for use here.
"""

from collections.abc import Callable

from comfreystair.controllers.store_position import StorePosition
from comfreystair.coordination.records import MISSING, StoredValue
from comfreystair.coordination.state import FleetState
from comfreystair.exceptions import ComfreystairError
from comfreystair.manifest.serving import ServingPlan
from comfreystair.observability.decisions import DecisionLog
from comfreystair.peers.messages import definitions

ParsePlan = Callable[[StoredValue], ServingPlan]


class PlanCache:
    """Holds the newest plan and never replaces it by an older one.

    The version that the operators gave tells which of two plans is newer. The
    position in the store does not: after a restore, the newest version can be
    at an earlier revision than before, and an older version can be stored.
    """

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
        self._stored = MISSING

    @property
    def position(self) -> StorePosition:
        """Return where the newest plan was last read in the store."""
        return self._stored.position

    @property
    def version(self) -> int:
        """Return the newest plan's version, 0 before the first."""
        plan = self._state.plan
        return 0 if plan is None else plan.version

    def update(self, stored: StoredValue, asked_at: float, source: str) -> None:
        """Apply a plan as it was read, unless it is older than the known one.

        An older plan proves nothing, as the known one was acknowledged too. A
        plan that can't be parsed is logged and ignored.

        :param asked_at: when the read was sent, if it proves that the plan was
            the newest at that time; else negative infinity.
        :param source: where it was read, for the log.
        """
        if stored.position == self.position:
            self.record_proof(asked_at)
            return
        if not stored.position.is_set:
            return
        plan = self._parse_plan(stored)
        if plan is None:
            if stored.position > self.position:
                self.record_proof(asked_at)
            return
        if plan.version < self.version:
            self._log.write(
                'plan_set_aside',
                version=plan.version,
                known_version=self.version,
                era=stored.position.era,
                revision=stored.position.revision,
                source=source,
            )
            return
        if plan.version > self.version:
            self._activate(plan, stored, asked_at, source)
        self._stored = max(self._stored, stored, key=_get_position)
        self.record_proof(asked_at)

    def record_proof(self, asked_at: float) -> None:
        """Record that the known plan was the newest at a time."""
        state = self._state
        state.plan_proved_at = max(state.plan_proved_at, asked_at)

    async def handle_request(self, _request: object) -> object:
        """Return the newest plan to another instance."""
        return definitions.PlanDocument(
            revision=self._stored.position.revision,
            era=self._stored.position.era,
            content=self._stored.blob,
        )

    def _parse_plan(self, stored: StoredValue) -> ServingPlan | None:
        try:
            return self._parse(stored)
        except ComfreystairError as error:
            self._log.write(
                'plan_refused',
                era=stored.position.era,
                revision=stored.position.revision,
                reason=error,
            )
            return None

    def _activate(
        self,
        plan: ServingPlan,
        stored: StoredValue,
        asked_at: float,
        source: str,
    ) -> None:
        """Put a newer plan in force."""
        self._stored = stored
        self._state.plan = plan
        self._log.write(
            'plan_in_force',
            version=plan.version,
            era=stored.position.era,
            revision=stored.position.revision,
            routes=len(plan.routes),
            source=source,
            asked_at=asked_at,
        )
        self._log_unknown_regions(plan)

    def _log_unknown_regions(self, plan: ServingPlan) -> None:
        """Log the lists with regions in which the settings have no zone.

        No target is allowed by such a region.
        """
        known = frozenset(self._state.zone_regions.values())
        for kind, listed in (
            ('route', plan.routes),
            ('organisation', plan.clients),
        ):
            for name, one in listed.items():
                unknown = one.allowed_regions - known
                if unknown:
                    self._log.write(
                        'regions_unknown',
                        kind=kind,
                        name=name,
                        regions=','.join(sorted(unknown)),
                    )


def _get_position(stored: StoredValue) -> StorePosition:
    return stored.position
