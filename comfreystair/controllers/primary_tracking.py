"""Who is the primary of a database group, and how surely that is known.

The store holds one record for each group. A record that was read linearizably
proves, as of when the read was sent, that nobody had begun to replace the
primary. Whoever replaces it waits until every instance has confirmed to have
stopped, or until every proof from before has run out. So a primary may be used
while the proof is younger than :data:`PROOF_SECONDS`, and an answer may be
handed on as success while it still is when the answer arrives.
"""

import collections
from typing import Final, NamedTuple

from comfreystair.controllers.positions import Position

# How long a proof lasts, in seconds: longer rides out more of an outage of
# the store, shorter ends a change of primary sooner when an instance is dark.
PROOF_TTL_SECONDS: Final = 3.0
# Samples of a primary's position that are kept, one every 50 ms at most.
_SAMPLE_STEP_SECONDS: Final = 0.05
_SAMPLES: Final = 128


class PrimaryRecord(NamedTuple):
    """A group's record in the store.

    :param primary: id of the target, empty before the first is known.
    :param term: of the log that it leads.
    :param is_changing: somebody is replacing it.
    :param revision: of the store, 0 when there is no record.
    """

    primary: str = ''
    term: int = 0
    is_changing: bool = False
    revision: int = 0


class PositionSample(NamedTuple):
    """A primary's position.

    :param asked_at: every write acknowledged before is at or below it.
    """

    asked_at: float
    position: Position


class PrimaryTracker:
    """What one instance knows of one group's primary."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._record = PrimaryRecord()
        self._proved_at = float('-inf')
        self._confirmed = 0
        self._samples: collections.deque[PositionSample] = collections.deque(
            maxlen=_SAMPLES
        )

    @property
    def record(self) -> PrimaryRecord:
        """Return the newest record known."""
        return self._record

    def find_proof_age(self, now: float) -> float:
        """Return the age of the newest proof, in seconds."""
        return now - self._proved_at

    def update(self, record: PrimaryRecord, asked_at: float) -> bool:
        """Take in a record that was read; tell whether it is news.

        :param asked_at: when the read was sent.
        """
        if record.revision < self._record.revision:
            return False
        is_news = record.revision > self._record.revision
        if is_news and record.primary != self._record.primary:
            self._samples.clear()
            self._proved_at = float('-inf')
        self._record = record
        if not record.is_changing:
            self._proved_at = max(self._proved_at, asked_at)
        return is_news

    def fence(self, revision: int) -> None:
        """Stop for good whatever uses the primary before a revision."""
        self._confirmed = max(self._confirmed, revision)

    def find_primary(self, now: float) -> str:
        """Return the target that may be used as primary; empty for none."""
        record = self._record
        if record.is_changing or self._confirmed > record.revision:
            return ''
        if self.find_proof_age(now) > PROOF_TTL_SECONDS:
            return ''
        return record.primary

    def may_acknowledge(self, primary: str, now: float) -> bool:
        """Tell whether a target's answer was surely given as primary.

        Holds while a change is announced but not confirmed yet: the change
        waits for the confirmation.
        """
        return (
            primary == self._record.primary
            and self._confirmed < self._record.revision
            and self.find_proof_age(now) <= PROOF_TTL_SECONDS
        )

    def add_sample(self, asked_at: float, position: Position) -> None:
        """Take in the position that the primary answered with."""
        last = self._samples[-1].asked_at if self._samples else float('-inf')
        if asked_at - last >= _SAMPLE_STEP_SECONDS:
            self._samples.append(PositionSample(asked_at, position))

    def find_sample(self, since: float) -> PositionSample | None:
        """Return a position above all writes acknowledged before a time."""
        for sample in self._samples:
            if sample.asked_at >= since:
                return sample
        return None
