"""Track the primary of a database group and how recently that was proved.

The store holds one record for each group. A linearizable read of the record
proves that nobody had begun to replace the primary when the read was sent.
Whoever replaces the primary first waits until every instance has confirmed
that it stopped using it, or until every earlier proof has expired. An instance
may therefore use a primary while its proof is younger than
:data:`PROOF_TTL_SECONDS`, and may report an answer as a success if the proof
is still that young when the answer arrives.

In a fleet of several availability zones an instance also needs contact: a read
of the store, or an instance of another zone that confirmed the record, within
:data:`CONTACT_TTL_SECONDS`. An instance that is cut off with its whole zone
therefore stops sooner than one that only lost the store.
"""

import collections
from typing import Final, NamedTuple

from comfreystair.controllers.positions import Position
from comfreystair.controllers.store_position import ABSENT, StorePosition

# Validity of a proof. A longer one survives longer outages of the store, a
# shorter one speeds up a failover while an instance can't be reached.
PROOF_TTL_SECONDS: Final = 3.0
# Validity of a contact. It exceeds twice the interval at which proofs are
# refreshed, so that in a healthy zone it seldom needs other zones.
CONTACT_TTL_SECONDS: Final = 1.5
# Position samples are kept at most every 50 ms.
_SAMPLE_INTERVAL_SECONDS: Final = 0.05
_MAX_SAMPLES: Final = 128


class PrimaryRecord(NamedTuple):
    """A group's record in the store.

    :param primary: id of the target, empty while no primary is known.
    :param term: of the log that the primary writes.
    :param is_changing: the primary is being replaced.
    :param position: of the record in the store, :data:`ABSENT` when there is
        no record.
    :param is_restored: the store may have lost a later record, as it has
        returned from an older copy since the record was written.
    """

    primary: str = ''
    term: int = 0
    is_changing: bool = False
    position: StorePosition = ABSENT
    is_restored: bool = False


class PositionSample(NamedTuple):
    """A log position of a primary.

    :param asked_at: when the request for it was sent. Every write acknowledged
        before that time is at or below the position.
    """

    asked_at: float
    position: Position


class PrimaryTracker:
    """One instance's knowledge of one group's primary."""

    def __init__(self, needs_contact: bool = False) -> None:
        """Start with no known primary, no proof and no samples.

        :param needs_contact: the primary is used only after a recent contact.
        """
        self._needs_contact = needs_contact
        self._record = PrimaryRecord()
        self._proved_at = float('-inf')
        self._contact_at = float('-inf')
        self._fenced_position = ABSENT
        self._samples: collections.deque[PositionSample] = collections.deque(
            maxlen=_MAX_SAMPLES
        )

    @property
    def record(self) -> PrimaryRecord:
        """Return the newest record known."""
        return self._record

    def find_proof_age(self, now: float) -> float:
        """Return the age of the newest proof, in seconds.

        :returns: infinity when the primary has not been proved.
        """
        return now - self._proved_at

    def find_contact_age(self, now: float) -> float:
        """Return the age of the newest contact, in seconds."""
        return now - max(self._contact_at, self._proved_at)

    def record_contact(self, position: StorePosition, asked_at: float) -> None:
        """Record that another availability zone confirmed a record.

        :param position: of the record that it confirmed.
        :param asked_at: when it was asked.
        """
        if position == self._record.position:
            self._contact_at = max(self._contact_at, asked_at)

    def confirms(self, position: StorePosition, now: float) -> bool:
        """Tell whether the primary of a record is in use here.

        :param position: of the record as another instance knows it.
        """
        is_same = position == self._record.position
        return is_same and bool(self.find_primary(now))

    def update(self, record: PrimaryRecord, asked_at: float) -> bool:
        """Store a record and its proof, unless a newer record is known.

        A record of a primary that is being replaced proves nothing, and
        neither does one of which the store may have lost a later version.

        :param asked_at: when the linearizable read of the record was sent,
            minus infinity if the record came without such a read, as in a
            notice from another instance.
        :returns: whether the record has a later position than the known one.
        """
        if record.position < self._record.position:
            return False
        is_newer = record.position > self._record.position
        if record.is_restored or record.term < self._record.term:
            self._merge_restored(record)
            return is_newer
        if is_newer and record.primary != self._record.primary:
            self._samples.clear()
            self._proved_at = float('-inf')
        if is_newer and not record.is_changing:
            # A contact confirms one record only. While the primary changes,
            # the last contact still counts for answers under way.
            self._contact_at = float('-inf')
        self._record = record
        if not record.is_changing:
            self._proved_at = max(self._proved_at, asked_at)
        return is_newer

    def fence(self, position: StorePosition) -> None:
        """Reject the primary of any record before a position, permanently."""
        self._fenced_position = max(self._fenced_position, position)

    def find_primary(self, now: float) -> str:
        """Return the target that may be used as primary now; empty for none.

        There is none while the primary is being replaced, fenced, not proved
        within :data:`PROOF_TTL_SECONDS` or without a recent contact.
        """
        record = self._record
        if record.is_changing or self._fenced_position > record.position:
            return ''
        return record.primary if self._is_proved(now) else ''

    def may_acknowledge(self, primary: str, now: float) -> bool:
        """Tell whether a target's answer may be reported as a success.

        The target was then certainly the primary when it answered. This also
        holds after a failover is announced, until this instance confirms it by
        :meth:`fence`: the failover waits for that confirmation.
        """
        return (
            primary == self._record.primary
            and self._fenced_position < self._record.position
            and self._is_proved(now)
        )

    def add_sample(self, asked_at: float, position: Position) -> None:
        """Record a log position from an answer of the primary.

        A position requested too soon after the last sample is ignored.

        :param asked_at: when the request for it was sent.
        """
        last = self._samples[-1].asked_at if self._samples else float('-inf')
        if asked_at - last >= _SAMPLE_INTERVAL_SECONDS:
            self._samples.append(PositionSample(asked_at, position))

    def find_sample(self, since: float) -> PositionSample | None:
        """Return the oldest sample requested at or after a time, if any.

        :param since: the sample covers every write acknowledged before it.
        """
        for sample in self._samples:
            if sample.asked_at >= since:
                return sample
        return None

    def _merge_restored(self, record: PrimaryRecord) -> None:
        """Take the position of a record that may not be the newest.

        The record of the higher term stays known, with its proof until that
        expires. A primary that was fenced stays fenced.
        """
        known = self._record
        if self._fenced_position >= known.position:
            self.fence(record.position)
        if record.term > known.term and record.primary != known.primary:
            self._samples.clear()
            self._proved_at = float('-inf')
        newest = record if record.term > known.term else known
        self._record = newest._replace(
            is_changing=known.is_changing or record.is_changing,
            position=record.position,
            is_restored=record.is_restored or not record.is_changing,
        )

    def _is_proved(self, now: float) -> bool:
        if self.find_proof_age(now) > PROOF_TTL_SECONDS:
            return False
        is_in_contact = self.find_contact_age(now) <= CONTACT_TTL_SECONDS
        return is_in_contact or not self._needs_contact
