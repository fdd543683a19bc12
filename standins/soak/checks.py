"""Promises, checked from what callers were told and targets have run."""

from collections.abc import Iterable
from typing import Final

# With these codes a caller is promised that nothing is kept.
PROMISES: Final = frozenset(
    ('BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'WRONGNODE', 'MAXCONN')
)


class ItemHistory:
    """What the only writer of an item knows of it."""

    def __init__(self, name: str) -> None:
        """Start with an item that was never written."""
        self.name = name
        self.findings: list[str] = []
        self._allowed = {'nothing'}
        self._past = {'nothing'}
        self._refused: set[str] = set()

    @property
    def refused(self) -> set[str]:
        """Return the ids of writes that were promised not to be kept."""
        return self._refused

    def take_session(self) -> None:
        """Take in a new session that promises to read its own writes only.

        Until it has written, it may see any state before.
        """
        self._allowed |= self._past

    def take_write(self, ident: str, content: str, line: str) -> None:
        """Take in a write and the first line of its answer."""
        words = line.split()
        self._past.add(content)
        if words[:1] == ['COMPLETE']:
            self._allowed = {content}
        elif words[:1] == ['ERROR'] and words[1] in PROMISES:
            self._refused.add(ident)
        else:
            # It may be kept, now or never.
            self._allowed.add(content)

    def take_read(self, line: str) -> None:
        """Take in what a read that must see all writes was answered."""
        if not line.startswith('ROW '):
            return
        content = line.removeprefix('ROW ')
        if content not in self._allowed:
            allowed = sorted(self._allowed)
            self.findings.append(
                f'{self.name}: read {content}, allowed {allowed}'
            )


def check_runs(
    runs: Iterable[tuple[str, str, str]], refused: set[str]
) -> list[str]:
    """Return what targets ran twice, or though it was refused."""
    seen: set[str] = set()
    findings: list[str] = []
    for ident, _organisation, text in runs:
        if not text.startswith('WRITE'):
            continue
        if ident in seen:
            findings.append(f'write {ident} ran twice')
        if ident in refused:
            findings.append(f'write {ident} ran though it was refused')
        seen.add(ident)
    return findings
