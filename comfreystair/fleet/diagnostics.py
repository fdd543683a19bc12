"""Documents on a daemon's state and its traces, for the command line."""

import time
from typing import Final

import msgspec

from comfreystair.callers.server import CallerServer
from comfreystair.controllers.limit_shares import LimitShareController
from comfreystair.controllers.manifest_generation import (
    ManifestGenerationController,
)
from comfreystair.controllers.membership import MembershipController
from comfreystair.observability.metrics import Metrics
from comfreystair.observability.traces import Tracer
from comfreystair.targets.groups import DatabaseGroup

STATUS_SUBJECT: Final = 'status'
TRACE_SUBJECT_PREFIX: Final = 'trace/'


class Diagnostics:
    """Build JSON documents that describe the daemon."""

    def __init__(
        self,
        membership: MembershipController,
        generations: ManifestGenerationController,
        shares: LimitShareController,
        groups: dict[str, DatabaseGroup],
        callers: CallerServer,
        tracer: Tracer,
        metrics: Metrics,
    ) -> None:
        """Store the objects whose state the documents show.

        :param groups: database groups by database name.
        """
        self._membership = membership
        self._generations = generations
        self._shares = shares
        self._groups = groups
        self._callers = callers
        self._tracer = tracer
        self._metrics = metrics

    def get_document(self, subject: str) -> bytes:
        """Return the document on a subject, or JSON null for an unknown one.

        :param subject: ``status``, or ``trace/`` and a trace id.
        """
        if subject == STATUS_SUBJECT:
            return msgspec.json.encode(self._describe())
        if subject.startswith(TRACE_SUBJECT_PREFIX):
            ident = subject.removeprefix(TRACE_SUBJECT_PREFIX)
            return msgspec.json.encode(self._tracer.find(ident))
        return msgspec.json.encode(None)

    def _describe(self) -> dict[str, object]:
        now = time.monotonic()
        own = self._membership.own
        live = self._membership.list_live(now)
        age = self._generations.find_confirmation_age(now)
        return {
            'instance': own.name,
            'zone': own.zone,
            'address': own.address,
            'is_leaving': own.is_leaving,
            'generation': self._generations.applied.generation,
            'confirmed_age_seconds': None if age == float('inf') else age,
            'epoch': self._shares.epoch.number,
            'is_settled': self._shares.epoch.is_settled,
            'share': self._shares.share,
            'callers': self._callers.connections,
            'live': [contact.name for contact in live],
            'peers': [
                contact.address for contact in self._membership.list_peers()
            ],
            'databases': {
                name: _describe_group(group, now)
                for name, group in self._groups.items()
            },
            'counts': self._metrics.totals,
        }


def _describe_group(group: DatabaseGroup, now: float) -> dict[str, object]:
    primary = group.controller.primary
    return {
        'primary': primary.target if primary else None,
        'term': primary.term if primary else 0,
        'targets': {
            name: {
                'role': seen.status.role,
                'term': seen.status.term,
                'received': list(seen.status.received),
                'applied': list(seen.status.applied),
                'age_seconds': round(now - seen.asked_at, 3),
            }
            for name, seen in group.controller.observations.items()
        },
    }
