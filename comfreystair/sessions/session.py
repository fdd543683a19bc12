"""What a caller's session holds between its statements."""

from comfreystair.controllers.positions import Position
from comfreystair.controllers.target_selection import Floor
from comfreystair.gateways import PinnedTransaction
from comfreystair.manifest.serving import ServingRoute
from comfreystair.sessions.statements import Phase, Prepared


class Transaction:
    """A caller's transaction; its target is chosen by its first statement."""

    def __init__(
        self, route: ServingRoute, is_read_only: bool, began_at: float
    ) -> None:
        """Start without a target."""
        self.route = route
        self.is_read_only = is_read_only
        self.began_at = began_at
        self.used_at = began_at
        self.is_failed = False
        self.has_written = False
        self.pinned: PinnedTransaction | None = None

    @property
    def target(self) -> str:
        """Return the target it runs at, empty before it has one."""
        return self.pinned.entry.ident if self.pinned else ''


class Session:
    """One caller's connection."""

    def __init__(self, database: str, key: str) -> None:
        """Start idle."""
        self.database = database
        self.key = key
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Prepared] = {}
        self.floor: Floor | None = None
        self.transaction: Transaction | None = None
        self.reading = None

    @property
    def phase(self) -> Phase:
        """Return where the session stands."""
        if self.transaction is None:
            return Phase.idle
        if self.transaction.is_failed:
            return Phase.in_failed_transaction
        return Phase.in_transaction

    @property
    def position(self) -> Position | None:
        """Return the position of the newest own write."""
        return self.floor.position if self.floor else None

    def raise_floor(self, position: Position | None, now: float) -> None:
        """Take in the position of an own write."""
        if position is not None and (
            self.floor is None or position > self.floor.position
        ):
            self.floor = Floor(position, now)
