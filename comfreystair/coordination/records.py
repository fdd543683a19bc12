"""Records that instances keep in the store, and the store's interface."""

from typing import Final, NamedTuple, Protocol, TypeVar

import msgspec
from loguru import logger

from comfreystair.controllers.primary_tracking import PrimaryRecord
from comfreystair.controllers.store_position import ABSENT, StorePosition
from comfreystair.dialing import split_address
from comfreystair.tasks import describe_error

_Record = TypeVar('_Record')

_PREFIX: Final = 'comfreystair/'
INSTANCES_PREFIX: Final = f'{_PREFIX}instances/'
GROUPS_PREFIX: Final = f'{_PREFIX}groups/'
FAILOVER_LEASES_PREFIX: Final = f'{_PREFIX}duties/'
KEEPERS_PREFIX: Final = f'{_PREFIX}keepers/'
RECORDS_PREFIX: Final = _PREFIX


class Lease(NamedTuple):
    """A lease of the store, with the era in which it was granted."""

    era: int
    ident: int


class StoredValue(NamedTuple):
    """The value of a key in the store.

    :param blob: the value; empty when the key does not exist.
    :param position: position of the key's last change, :data:`ABSENT` when
        the key does not exist.
    :param lease_id: id of the lease that the key is deleted with, 0 for none.
    """

    blob: bytes
    position: StorePosition
    lease_id: int = 0


MISSING: Final = StoredValue(b'', ABSENT)


class Committed(NamedTuple):
    """A transaction that took effect.

    :param position: position of the keys that it wrote.
    """

    position: StorePosition


class Conflict(NamedTuple):
    """A transaction that did not take effect.

    :param items: the current values of its keys.
    """

    items: dict[str, StoredValue]


class InstanceRecord(msgspec.Struct, frozen=True):
    """Registration of an instance.

    :param address: ``host:port`` for messages between instances.
    :param incarnation: id of one run of its process; a restart changes it.
    :param is_leaving: the instance is shutting down and accepts no work from
        others.
    :param is_stopped: this run of the process uses no primary any more and
        need not be told of failovers.
    :param followers: of an instance that has stopped, the addresses of those
        that fetched proofs from it lately.
    :param needs_contact: the instance stops using primaries when no other
        availability zone has confirmed them for a while.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    is_leaving: bool = False
    needs_contact: bool = False
    is_stopped: bool = False
    followers: tuple[str, ...] = ()


class GroupRecord(msgspec.Struct, frozen=True):
    """The primary of a group, as it is stored.

    :param primary: id of the target, empty before the first is known.
    :param term: term of the primary.
    :param is_changing: a failover has been announced.
    :param era: of the store, in which the record was written.
    :param addresses: where the group's log is kept, for groups whose commits
        must be received by replicas.
    """

    primary: str
    term: int
    is_changing: bool
    era: int = 0
    addresses: tuple[str, ...] = ()


class StoreClient(Protocol):
    """The operations of the store that coordination uses."""

    async def read(self, key: str) -> StoredValue:
        """Return a key's value, which may be outdated by some seconds."""

    async def list(
        self, prefix: str, is_stale_ok: bool
    ) -> dict[str, StoredValue]:
        """Return the values of all keys with a prefix.

        :param is_stale_ok: the answer may be outdated by some seconds.
        """

    async def compare_and_set(
        self,
        expected,
        writes=None,
        lease: Lease | None = None,
        leased: tuple[str, ...] = (),
    ) -> Committed | Conflict:
        """Write keys if all expected positions are current.

        All writes take effect, or none. A call without writes only checks the
        positions.

        :param expected: position by key, :data:`ABSENT` for a key that must
            not exist.
        :param writes: value by key.
        :param leased: those of the written keys that are bound to the lease.
        """

    async def grant_lease(self, seconds: float) -> Lease:
        """Create a lease with a TTL in seconds."""

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease.

        :returns: whether the lease had not expired.
        """

    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and delete the keys that are bound to it."""


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_primary_record(item: StoredValue | None) -> PrimaryRecord:
    """Decode a group's record.

    A record that can't be decoded counts as changing, so that its primary is
    not used. One that was written in another era than the one it was read in
    may lack later failovers.
    """
    if item is None:
        return PrimaryRecord()
    if not item.position.is_set:
        return PrimaryRecord(position=item.position)
    record = _try_decode(item, GroupRecord)
    if record is None:
        return PrimaryRecord(is_changing=True, position=item.position)
    return PrimaryRecord(
        record.primary,
        record.term,
        record.is_changing,
        item.position,
        is_restored=record.era != item.position.era,
    )


def decode_log_addresses(item: StoredValue) -> tuple[str, ...]:
    """Return where a group's log is kept; nothing when it is not known."""
    record = _try_decode(item, GroupRecord)
    return record.addresses if record else ()


def decode_instance(item: StoredValue) -> InstanceRecord | None:
    """Decode an instance's record.

    :returns: nothing, with a line in the log, when it can't be used.
    """
    try:
        return parse_instance(item)
    except Exception as error:
        _log_left_out(InstanceRecord, error)
        return None


def parse_instance(item: StoredValue) -> InstanceRecord:
    """Decode an instance's record.

    The decoder has errors of its own for some bytes, such as nested lists or
    long numbers, so any error means that the record can't be used.

    :raises Exception: when it can't be used.
    """
    record = msgspec.json.decode(item.blob, type=InstanceRecord)
    split_address(record.address)
    return record


def _try_decode(item: StoredValue, kind: type[_Record]) -> _Record | None:
    try:
        return msgspec.json.decode(item.blob, type=kind)
    except Exception as error:
        _log_left_out(kind, error)
        return None


def _log_left_out(kind: type, error: Exception) -> None:
    logger.error(
        'event=record_left_out kind={} reason="{}"',
        kind.__name__,
        describe_error(error),
    )
