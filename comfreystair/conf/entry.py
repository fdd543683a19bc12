"""Settings of an entry instance, as the platform renders them."""

import msgspec

from comfreystair.conf.checks import LEVEL_ERROR, LEVEL_WARNING, Finding
from comfreystair.conf.exceptions import SettingsError
from comfreystair.conf.loader import read_file
from comfreystair.controllers.places.cold_targets import ColdBounds
from comfreystair.controllers.primary_tracking import PROOF_TTL_SECONDS

_MILLISECONDS = 1000
# The platform keeps 200 for files.
_MIN_DESCRIPTORS = 256
# The contract by which waiting requests are admitted by priority.
_PRESSURE = 'pressure'


class Section(msgspec.Struct, frozen=True):
    """Base of all sections; entries may be added by later versions."""


class InstanceSection(Section, frozen=True):
    """Who and where this instance is."""

    name: str
    zone: str
    address: str


class ListenSection(Section, frozen=True):
    """Where to listen; ``callers`` and ``ready`` are ``host:port``."""

    callers: str
    ready: str
    peer_port: int
    metrics_port: int


class StoreSection(Section, frozen=True):
    """The platform's store."""

    address: str
    least_lease_ms: int = 1000


class PromotionSection(Section, frozen=True):
    """Where promotions are ordered."""

    address: str


class BoundsSection(Section, frozen=True):
    """What operators are promised, in milliseconds.

    :param evacuation_ms: 0 where zones are not evacuated.
    :param cold_excess: requests that may reach a cold target in a second, as a
        multiple of those that it handles.
    :param cold_slack: added to them.
    """

    key_revocation_ms: int = 5000
    configuration_ms: int = 3000
    contact_ms: int = 4000
    shutdown_ms: int = 6000
    drain_ms: int = 7000
    rate_window_ms: int = 5000
    evacuation_ms: int = 0
    cold_excess: float | None = None
    cold_slack: float | None = None


class LimitsSection(Section, frozen=True):
    """What the process may use.

    :param descriptors: open files and connections; 0 for the limit that the
        process was started with.
    """

    descriptors: int = 0


class OverloadSection(Section, frozen=True):
    """What happens when callers ask for more than targets can do.

    :param contracts: names of what the platform expects of its instances.
    :param has_connection_shares: in large zones, divide the connections of
        targets among all instances, and bound retries by a budget.
    """

    contracts: tuple[str, ...] | None = ()
    has_connection_shares: bool = False

    @property
    def has_priority_admission(self) -> bool:
        """Tell whether waiting requests are admitted by priority."""
        return _PRESSURE in (self.contracts or ())


class EntrySettings(Section, frozen=True):
    """The whole file.

    :param zones: the region of each availability zone.
    """

    instance: InstanceSection
    zones: dict[str, str]
    listen: ListenSection
    store: StoreSection
    promotion: PromotionSection
    bounds: BoundsSection = BoundsSection()
    limits: LimitsSection = LimitsSection()
    overload: OverloadSection = OverloadSection()

    @property
    def key_seconds(self) -> float:
        """Return within which time a withdrawn key must stop."""
        return self.bounds.key_revocation_ms / _MILLISECONDS

    @property
    def evacuation_seconds(self) -> float:
        """Return within which time an evacuated zone gets no more requests."""
        return self.bounds.evacuation_ms / _MILLISECONDS

    @property
    def shutdown_seconds(self) -> float:
        """Return how long a shutdown may take."""
        return self.bounds.shutdown_ms / _MILLISECONDS

    @property
    def cold_bounds(self) -> ColdBounds | None:
        """Return the bounds on requests to cold targets.

        If only one of the two is set, nothing is tolerated in place of the
        other. Nothing is returned if neither is.
        """
        excess, slack = self.bounds.cold_excess, self.bounds.cold_slack
        if excess is None and slack is None:
            return None
        return ColdBounds(1 if excess is None else excess, slack or 0)


def load_entry_settings(path: str) -> EntrySettings:
    """Decode a settings file.

    :raises SettingsError: naming the entry that does not fit.
    """
    try:
        return msgspec.json.decode(read_file(path), type=EntrySettings)
    except msgspec.DecodeError as error:
        raise SettingsError(f'{path}: {error}', 'settings') from error


def check_entry_settings(settings: EntrySettings) -> list[Finding]:
    """Run every check and return all findings."""
    return [
        found
        for check in (
            _check_zone,
            _check_keys,
            _check_shutdown,
            _check_descriptors,
            _check_evacuation,
            _check_cold_bounds,
        )
        for found in check(settings)
    ]


def _check_zone(settings: EntrySettings) -> list[Finding]:
    if settings.instance.zone in settings.zones:
        return []
    return [
        Finding(
            'comfreystair.E101',
            LEVEL_ERROR,
            f'zone {settings.instance.zone} is not among the zones',
            'list every availability zone under zones',
        )
    ]


def _check_keys(settings: EntrySettings) -> list[Finding]:
    if settings.key_seconds > PROOF_TTL_SECONDS / 2:
        return []
    return [
        Finding(
            'comfreystair.E102',
            LEVEL_ERROR,
            'keys must stop sooner than the plan is confirmed',
            'raise key_revocation_ms',
        )
    ]


def _check_shutdown(settings: EntrySettings) -> list[Finding]:
    if settings.bounds.shutdown_ms >= 2 * _MILLISECONDS:
        return []
    return [
        Finding(
            'comfreystair.W103',
            LEVEL_WARNING,
            'a shutdown under 2 s cuts requests',
            'raise shutdown_ms',
        )
    ]


def _check_descriptors(settings: EntrySettings) -> list[Finding]:
    descriptors = settings.limits.descriptors
    if descriptors == 0 or descriptors >= _MIN_DESCRIPTORS:
        return []
    return [
        Finding(
            'comfreystair.E104',
            LEVEL_ERROR,
            f'{descriptors} descriptors leave none for callers',
            f'allow {_MIN_DESCRIPTORS} or more, or 0 for no limit of its own',
        )
    ]


def _check_evacuation(settings: EntrySettings) -> list[Finding]:
    seconds = settings.evacuation_seconds
    if not seconds or seconds > PROOF_TTL_SECONDS:
        return []
    return [
        Finding(
            'comfreystair.E105',
            LEVEL_ERROR,
            'zones must be evacuated sooner than evacuations are confirmed',
            f'raise evacuation_ms above {PROOF_TTL_SECONDS * _MILLISECONDS:g}',
        )
    ]


def _check_cold_bounds(settings: EntrySettings) -> list[Finding]:
    bounds = settings.cold_bounds
    if bounds is None or min(bounds) >= 0:
        return []
    return [
        Finding(
            'comfreystair.E106',
            LEVEL_ERROR,
            'bounds on requests to cold targets are negative',
            'raise cold_excess and cold_slack to 0 or more',
        )
    ]
