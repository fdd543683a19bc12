"""Records of the fleet in the store."""

from typing import Final, NamedTuple, Protocol

import msgspec

from comfreystair.controllers.leadership import Leadership

_PREFIX: Final = 'comfreystair/'
INSTANCES_PREFIX: Final = f'{_PREFIX}instances/'
GROUPS_PREFIX: Final = f'{_PREFIX}groups/'
FAILOVER_LEASES_PREFIX: Final = f'{_PREFIX}duties/'
KEEPERS_PREFIX: Final = f'{_PREFIX}keepers/'
RECORDS_PREFIX: Final = _PREFIX


class StoredValue(NamedTuple):
    """A key's content.

    :param revision: of its last change, 0 when it does not exist.
    :param lease: that it ends with, 0 for none.
    """

    blob: bytes
    revision: int
    lease: int = 0


class Committed(NamedTuple):
    """A change that was made.

    :param revision: that its keys have now.
    """

    revision: int


class Conflict(NamedTuple):
    """A change that was not made, with the keys as they are."""

    items: dict[str, StoredValue]


class InstanceRecord(msgspec.Struct, frozen=True):
    """An instance.

    :param address: ``host:port`` for messages between instances.
    :param incarnation: one life of its process.
    :param is_leaving: it is shutting down and takes no work of others.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    is_leaving: bool = False


class GroupRecord(msgspec.Struct, frozen=True):
    """The primary of a group."""

    primary: str
    term: int
    is_changing: bool


class StoreClient(Protocol):
    """The store as coordination uses it."""

    async def read(self, key: str) -> StoredValue:
        """Return a key's content, which may be seconds old."""

    async def list(
        self, prefix: str, is_stale_ok: bool
    ) -> dict[str, StoredValue]:
        """Return all keys with a prefix."""

    async def compare_and_set(
        self,
        expected,
        writes=None,
        lease: int = 0,
        leased: tuple[str, ...] = (),
    ) -> Committed | Conflict:
        """Write keys if others are at their revisions."""

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; tell whether it still was one."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease with its keys."""


def encode_record(record: msgspec.Struct) -> bytes:
    """Return a record as it is stored."""
    return msgspec.json.encode(record)


def decode_primary_record(item: StoredValue | None) -> Leadership:
    """Decode a group's record; one that can't be read is being changed."""
    if item is None or not item.revision:
        return Leadership()
    try:
        read = msgspec.json.decode(item.blob, type=GroupRecord)
    except msgspec.DecodeError:
        return Leadership(is_changing=True, revision=item.revision)
    return Leadership(read.primary, read.term, read.is_changing, item.revision)


def decode_instance(item: StoredValue) -> InstanceRecord | None:
    """Decode an instance's record; nothing when it can't be read."""
    try:
        return msgspec.json.decode(item.blob, type=InstanceRecord)
    except msgspec.DecodeError:
        return None
