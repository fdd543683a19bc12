"""Which daemons there are, from the platform's list and from hearing them.

The list lags and hearing can fail, so neither alone decides. A daemon counts
as live while it is listed or heard, unless its host refused a connection or a
newer process answered in its place, which prove that the old process ended.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

_HEARD_SECONDS: Final = 5.0
_FORGET_SECONDS: Final = 600.0


class Contact(NamedTuple):
    """A daemon as it presents itself.

    :param incarnation: see :func:`build_incarnation`.
    :param address: ``host:port`` for messages between daemons.
    :param epoch: of the shares that it uses.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    is_leaving: bool = False
    epoch: int = 0


class _Seen(NamedTuple):
    contact: Contact
    heard_at: float


class MembershipController:
    """Keep the daemons that this one knows of."""

    def __init__(self, own: Contact) -> None:
        """Start knowing only this daemon."""
        self._own = own
        self._listed: dict[str, Contact] = {}
        self._seen: dict[str, _Seen] = {}
        self._dead: dict[str, float] = {}
        self._missing: dict[str, float] = {}

    @property
    def own(self) -> Contact:
        """Return this daemon."""
        return self._own

    def set_epoch(self, epoch: int) -> None:
        """Present this daemon as using an epoch of shares."""
        self._own = self._own._replace(epoch=epoch)

    def mark_leaving(self) -> None:
        """Present this daemon as leaving from now on."""
        self._own = self._own._replace(is_leaving=True)

    def update_listed(self, contacts: Iterable[Contact]) -> None:
        """Take over the platform's list; incarnations in it are empty."""
        self._listed = {
            contact.name: contact
            for contact in contacts
            if contact.name != self._own.name
        }

    def record_message(self, contact: Contact, at: float) -> str | None:
        """Take in a direct message of another daemon.

        :returns: the incarnation that this proves dead, if it proves one.
        """
        if contact.name == self._own.name:
            return None
        if contact.incarnation in self._dead:
            return None
        known = self._seen.get(contact.name)
        if known is not None and known.contact.incarnation > (
            contact.incarnation
        ):
            return None
        self._seen[contact.name] = _Seen(contact, at)
        if known is None or known.contact.incarnation == contact.incarnation:
            return None
        return self._bury(known.contact.incarnation, at)

    def record_gossip(self, contact: Contact, age: float, now: float) -> None:
        """Take in what another daemon knows of a third."""
        if contact.name == self._own.name:
            return
        if contact.incarnation in self._dead or age > _HEARD_SECONDS:
            return
        known = self._seen.get(contact.name)
        if known is None:
            self._seen[contact.name] = _Seen(contact, now - age)
        elif known.contact.incarnation == contact.incarnation:
            newest = max(known.contact.epoch, contact.epoch)
            self._seen[contact.name] = _Seen(
                known.contact._replace(epoch=newest),
                max(known.heard_at, now - age),
            )

    def record_connection_refused(self, name: str, at: float) -> str | None:
        """Take in that a daemon's host refused a connection.

        :returns: the incarnation that this proves dead, if it was known.
        """
        known = self._seen.pop(name, None)
        if known is None:
            return None
        return self._bury(known.contact.incarnation, at)

    def find_terminated(
        self, incarnations: Iterable[str], now: float
    ) -> list[str]:
        """Return those that must have ended, by what is known of their names.

        A newer process of the same name proves it, and so does a name that
        was neither listed nor heard for long.
        """
        replaced = []
        for incarnation in incarnations:
            name = get_instance_name(incarnation)
            if self._is_replaced(name, incarnation):
                replaced.append(incarnation)
            elif self._is_known(name):
                self._missing.pop(incarnation, None)
            else:
                since = self._missing.setdefault(incarnation, now)
                if now - since > _FORGET_SECONDS:
                    replaced.append(incarnation)
        return replaced

    def remove_expired(self, now: float) -> list[str]:
        """Give up on daemons neither listed nor heard for long.

        :returns: their incarnations; each has dropped its own share by then.
        """
        gone = [
            seen.contact
            for seen in self._seen.values()
            if now - seen.heard_at > _FORGET_SECONDS
            and seen.contact.name not in self._listed
        ]
        for contact in gone:
            self._seen.pop(contact.name)
            self._bury(contact.incarnation, now)
        return [contact.incarnation for contact in gone]

    def list_live(self, now: float) -> list[Contact]:
        """Return the daemons heard lately, this one included, by name."""
        live = [
            seen.contact
            for seen in self._seen.values()
            if now - seen.heard_at <= _HEARD_SECONDS
            and not seen.contact.is_leaving
        ]
        if not self._own.is_leaving:
            live.append(self._own)
        return sorted(live)

    def list_heard(self, now: float) -> list[tuple[Contact, float]]:
        """Return heard daemons with seconds since each was heard."""
        return [
            (seen.contact, now - seen.heard_at) for seen in self._seen.values()
        ]

    def list_peers(self) -> list[Contact]:
        """Return all that a message may be sent to, listed or heard."""
        known = dict(self._listed)
        known.update({name: seen.contact for name, seen in self._seen.items()})
        return [known[name] for name in sorted(known)]

    def find_last_heard_at(self) -> float:
        """Return when any other daemon was last heard, 0 for never."""
        return max((seen.heard_at for seen in self._seen.values()), default=0)

    def _is_replaced(self, name: str, incarnation: str) -> bool:
        newest = self._own.incarnation
        if name != self._own.name:
            seen = self._seen.get(name)
            newest = seen.contact.incarnation if seen else ''
        return newest > incarnation

    def _is_known(self, name: str) -> bool:
        known = (self._own.name, *self._listed, *self._seen)
        return name in known

    def _bury(self, incarnation: str, at: float) -> str:
        self._dead[incarnation] = at
        return incarnation


def build_incarnation(name: str, started_ns: int) -> str:
    """Return the name of one process; a later one of the same name is higher.

    :param started_ns: wall-clock nanoseconds.
    """
    return f'{name}-{started_ns:016x}'


def get_instance_name(incarnation: str) -> str:
    """Return the name of the instance that a process runs on."""
    return incarnation.rpartition('-')[0]


def rank_by_rendezvous_hash(subject: str, names: Iterable[str]) -> list[str]:
    """Order daemons for a subject by rendezvous hashing, first is best."""
    return sorted(
        names,
        key=lambda name: compute_rendezvous_score(subject, name),
        reverse=True,
    )


def compute_rendezvous_score(subject: str, name: str) -> tuple[int, str]:
    """Return what daemons are ranked by for a subject, highest first."""
    return xxhash.xxh3_64_intdigest(f'{subject}/{name}'.encode()), name
