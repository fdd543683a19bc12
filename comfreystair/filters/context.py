"""Context that all filters of a daemon share."""

from typing import NamedTuple

from comfreystair.conf.schema import RequestsSection
from comfreystair.controllers.manifest_generation import (
    ManifestGenerationController,
)
from comfreystair.filters.rate_limiter import RateLimiter
from comfreystair.filters.scheduling import Scheduler
from comfreystair.manifest.index import ManifestHolder
from comfreystair.observability.metrics import Metrics
from comfreystair.observability.traces import Tracer
from comfreystair.targets.groups import DatabaseGroup


class FilterContext(NamedTuple):
    """Settings, state and services of one daemon that the filters use.

    :param zone: availability zone of the daemon.
    :param groups: database groups by database name.
    :param known_writes: texts of statements that were classified as reads
        and that a target rejected as writes, oldest first.
    """

    zone: str
    settings: RequestsSection
    manifest_holder: ManifestHolder
    generations: ManifestGenerationController
    groups: dict[str, DatabaseGroup]
    rate_limiter: RateLimiter
    scheduler: Scheduler
    metrics: Metrics
    tracer: Tracer
    known_writes: dict[str, None]
