"""Fleet membership, from the platform's list and from messages of daemons.

The list lags behind and messages can be lost, so neither is sufficient alone.
A daemon is a member while it is listed or heard from. It ceases to be one when
its host refuses a connection or a newer process of the same name responds,
since either proves that the old process has terminated.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

_LIVENESS_TIMEOUT_SECONDS: Final = 5.0
_EXPIRY_SECONDS: Final = 600.0


class Contact(NamedTuple):
    """A daemon as it describes itself to others.

    :param incarnation: name of the process, see :func:`build_incarnation`.
    :param address: ``host:port`` for messages between daemons.
    :param is_leaving: the daemon is shutting down.
    :param epoch: number of the epoch of limit shares that the daemon uses.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    is_leaving: bool = False
    epoch: int = 0


class _HeardContact(NamedTuple):
    contact: Contact
    heard_at: float


class MembershipController:
    """The daemons that this one knows of."""

    def __init__(self, own: Contact) -> None:
        """Begin with this daemon as the only one known."""
        self._own = own
        self._listed: dict[str, Contact] = {}
        self._heard: dict[str, _HeardContact] = {}
        self._terminated: dict[str, float] = {}
        self._unknown_since: dict[str, float] = {}

    @property
    def own(self) -> Contact:
        """Return the contact of this daemon."""
        return self._own

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch of limit shares that this daemon announces."""
        self._own = self._own._replace(epoch=epoch)

    def mark_leaving(self) -> None:
        """Announce from now on that this daemon is shutting down."""
        self._own = self._own._replace(is_leaving=True)

    def update_listed(self, contacts: Iterable[Contact]) -> None:
        """Replace the known list of the platform.

        This daemon's own entry is ignored.

        :param contacts: the listed daemons; their incarnations are empty.
        """
        self._listed = {
            contact.name: contact
            for contact in contacts
            if contact.name != self._own.name
        }

    def record_message(self, contact: Contact, at: float) -> str | None:
        """Record a message received directly from another daemon.

        Messages of a terminated process, or of an older one than is known of
        the same name, are ignored.

        :param at: monotonic seconds.
        :returns: the incarnation that the message proves to have terminated,
            if any.
        """
        if contact.name == self._own.name:
            return None
        if contact.incarnation in self._terminated:
            return None
        known = self._heard.get(contact.name)
        if known is not None and known.contact.incarnation > (
            contact.incarnation
        ):
            return None
        self._heard[contact.name] = _HeardContact(contact, at)
        if known is None or known.contact.incarnation == contact.incarnation:
            return None
        return self._mark_terminated(known.contact.incarnation, at)

    def record_gossip(self, contact: Contact, age: float, now: float) -> None:
        """Record what another daemon reports about a third one.

        Reports are ignored if they are older than the liveness timeout, or
        about a process that has terminated or is not the one known of its
        name.

        :param age: seconds since the third daemon was last heard from.
        """
        if contact.name == self._own.name:
            return
        if (
            contact.incarnation in self._terminated
            or age > _LIVENESS_TIMEOUT_SECONDS
        ):
            return
        known = self._heard.get(contact.name)
        if known is None:
            self._heard[contact.name] = _HeardContact(contact, now - age)
        elif known.contact.incarnation == contact.incarnation:
            newest = max(known.contact.epoch, contact.epoch)
            self._heard[contact.name] = _HeardContact(
                known.contact._replace(epoch=newest),
                max(known.heard_at, now - age),
            )

    def record_connection_refused(self, name: str, at: float) -> str | None:
        """Record that the host of a daemon refused a connection.

        :param at: monotonic seconds.
        :returns: the incarnation that this proves to have terminated, if one
            was known.
        """
        known = self._heard.pop(name, None)
        if known is None:
            return None
        return self._mark_terminated(known.contact.incarnation, at)

    def find_terminated(
        self, incarnations: Iterable[str], now: float
    ) -> list[str]:
        """Return the incarnations that must have terminated.

        An incarnation has terminated if a newer process of the same name is
        known, or if its name has been neither listed nor heard from for
        longer than the expiry time. That time begins with the first call that
        finds the name unknown.
        """
        terminated = []
        for incarnation in incarnations:
            name = get_instance_name(incarnation)
            if self._is_superseded(name, incarnation):
                terminated.append(incarnation)
            elif self._is_known(name):
                self._unknown_since.pop(incarnation, None)
            else:
                since = self._unknown_since.setdefault(incarnation, now)
                if now - since > _EXPIRY_SECONDS:
                    terminated.append(incarnation)
        return terminated

    def remove_expired(self, now: float) -> list[str]:
        """Remove the daemons neither listed nor heard from for a long time.

        :returns: their incarnations. Each of these processes has relinquished
            its own share by then.
        """
        expired = [
            heard.contact
            for heard in self._heard.values()
            if now - heard.heard_at > _EXPIRY_SECONDS
            and heard.contact.name not in self._listed
        ]
        for contact in expired:
            self._heard.pop(contact.name)
            self._mark_terminated(contact.incarnation, now)
        return [contact.incarnation for contact in expired]

    def list_live(self, now: float) -> list[Contact]:
        """Return the live daemons, including this one, sorted by name.

        Live are those heard from recently that are not shutting down.
        """
        live = [
            heard.contact
            for heard in self._heard.values()
            if now - heard.heard_at <= _LIVENESS_TIMEOUT_SECONDS
            and not heard.contact.is_leaving
        ]
        if not self._own.is_leaving:
            live.append(self._own)
        return sorted(live)

    def list_heard(self, now: float) -> list[tuple[Contact, float]]:
        """Return the daemons heard from, with the seconds since then."""
        return [
            (heard.contact, now - heard.heard_at)
            for heard in self._heard.values()
        ]

    def list_peers(self) -> list[Contact]:
        """Return all daemons to send messages to, listed or heard from."""
        known = dict(self._listed)
        known.update(
            {name: heard.contact for name, heard in self._heard.items()}
        )
        return [known[name] for name in sorted(known)]

    def find_last_heard_at(self) -> float:
        """Return when any other daemon was last heard, in monotonic seconds.

        :returns: 0 if none is known to have been heard from.
        """
        return max(
            (heard.heard_at for heard in self._heard.values()), default=0
        )

    def _is_superseded(self, name: str, incarnation: str) -> bool:
        newest = self._own.incarnation
        if name != self._own.name:
            heard = self._heard.get(name)
            newest = heard.contact.incarnation if heard else ''
        return newest > incarnation

    def _is_known(self, name: str) -> bool:
        known = (self._own.name, *self._listed, *self._heard)
        return name in known

    def _mark_terminated(self, incarnation: str, at: float) -> str:
        self._terminated[incarnation] = at
        return incarnation


def build_incarnation(name: str, started_ns: int) -> str:
    """Return the name of one process of an instance.

    The names of later processes of the same instance sort higher.

    :param started_ns: start of the process, in wall-clock nanoseconds.
    """
    return f'{name}-{started_ns:016x}'


def get_instance_name(incarnation: str) -> str:
    """Return the name of the instance that a process runs on."""
    return incarnation.rpartition('-')[0]


def rank_by_rendezvous_hash(subject: str, names: Iterable[str]) -> list[str]:
    """Sort daemons by rendezvous hashing, highest score first.

    :param subject: key, such as an organisation or a target, that a daemon is
        chosen for.
    """
    return sorted(
        names,
        key=lambda name: compute_rendezvous_score(subject, name),
        reverse=True,
    )


def compute_rendezvous_score(subject: str, name: str) -> tuple[int, str]:
    """Return the sort key of a daemon for a subject; the highest wins.

    :param subject: key that a daemon is chosen for.
    """
    return xxhash.xxh3_64_intdigest(f'{subject}/{name}'.encode()), name
