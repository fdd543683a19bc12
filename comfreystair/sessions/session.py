"""State of a caller's session between statements."""

from comfreystair.clocks import read_clock
from comfreystair.controllers.positions import Position
from comfreystair.controllers.target_selection import Floor
from comfreystair.gateways import PinnedTransaction
from comfreystair.manifest.serving import ServingRoute
from comfreystair.sessions.statements import PreparedStatement, SessionPhase


class Transaction:
    """A caller's transaction; its first statement selects its target."""

    def __init__(
        self, route: ServingRoute, is_read_only: bool, began_at: float
    ) -> None:
        """Initialize a transaction that has not begun at a target.

        :param began_at: when the caller began it, by the monotonic clock.
        """
        self.route = route
        self.is_read_only = is_read_only
        self.began_at = began_at
        self.used_at = began_at
        self.is_failed = False
        self.has_written = False
        self.pinned: PinnedTransaction | None = None

    @property
    def target(self) -> str:
        """Return the id of its target, empty before it has one."""
        return self.pinned.entry.ident if self.pinned else ''


class Session:
    """Session of one caller's connection."""

    def __init__(self, database: str, key: str) -> None:
        """Initialize an idle session.

        :param database: route that the caller named.
        :param key: API key that the caller presented.
        """
        self.database = database
        self.key = key
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.floor: Floor | None = None
        self.transaction: Transaction | None = None
        # When its newest request came, by the clock.
        self.asked_at = read_clock()
        # Waits for the caller's next request; none while a request runs.
        self.reader_task = None

    @property
    def phase(self) -> SessionPhase:
        """Return whether a transaction is open, and whether it failed."""
        if self.transaction is None:
            return SessionPhase.idle
        if self.transaction.is_failed:
            return SessionPhase.in_failed_transaction
        return SessionPhase.in_transaction

    @property
    def position(self) -> Position | None:
        """Return the log position of the session's newest write, if known."""
        return self.floor.position if self.floor else None

    def raise_floor(self, position: Position | None, now: float) -> None:
        """Raise the floor to the log position of the session's own write.

        :param position: nothing if the target did not report it.
        :param now: when the write was acknowledged, by the monotonic clock.
        """
        if position is not None and (
            self.floor is None or position > self.floor.position
        ):
            self.floor = Floor(position, now)
