"""What the filters share; the daemon wires it."""

from typing import NamedTuple

from comfreystair.conf.schema import RequestsSection
from comfreystair.controllers.generations import GenerationController
from comfreystair.filters.rate_limiter import RateLimiter
from comfreystair.filters.scheduling import Scheduler
from comfreystair.manifest.index import ManifestHolder
from comfreystair.observability.metrics import Metrics
from comfreystair.observability.traces import Tracer
from comfreystair.targets.groups import DatabaseGroup


class FilterContext(NamedTuple):
    """Shared parts of one daemon.

    :param groups: by database name.
    :param known_writes: texts that a replica proved to be writes.
    """

    zone: str
    settings: RequestsSection
    manifest_holder: ManifestHolder
    generations: GenerationController
    groups: dict[str, DatabaseGroup]
    rate_limiter: RateLimiter
    scheduler: Scheduler
    metrics: Metrics
    tracer: Tracer
    known_writes: dict[str, None]
