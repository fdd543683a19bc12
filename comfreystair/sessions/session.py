"""What a caller's session holds between its statements."""

from comfreystair.controllers.positions import Position
from comfreystair.controllers.selection import Floor
from comfreystair.manifest.serving import ServingRoute
from comfreystair.gateways import Pinned
from comfreystair.sessions.statements import SessionPhase, PreparedStatement


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
        self.pinned: Pinned | None = None

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
        self.prepared: dict[str, PreparedStatement] = {}
        self.floor: Floor | None = None
        self.transaction: Transaction | None = None
        self.reader_task = None

    @property
    def phase(self) -> SessionPhase:
        """Return where the session stands."""
        if self.transaction is None:
            return SessionPhase.idle
        if self.transaction.is_failed:
            return SessionPhase.in_failed_transaction
        return SessionPhase.in_transaction

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
