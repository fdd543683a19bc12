"""Rules of the fault proxy."""

import curio

_POLL_SECONDS = 0.01


class Rules:
    """The rules in force.

    ``cut`` and ``freeze`` hold bytes back until the rule is gone, as a
    network partition does; ``reset`` breaks connections; ``delay`` makes each
    read wait. ``hold`` delays, and ``lose`` answers with a broken connection,
    only what contains the text of ``match``, for ``times`` times.
    """

    def __init__(self) -> None:
        """Start without rules."""
        self._rules: list[dict] = []

    async def replace(self, rules: list[dict]) -> None:
        """Put other rules in force."""
        self._rules = rules

    def find(self, ends: tuple[str, str], mode: str) -> dict | None:
        """Return the first rule of a mode for a pair of ends."""
        source, destination = ends
        for rule in self._rules:
            if rule['mode'] != mode:
                continue
            is_source = rule.get('source', '*') in {'*', source}
            is_end = rule.get('destination', '*') in {'*', destination}
            if is_source and is_end:
                return rule
        return None

    def take_match(
        self, ends: tuple[str, str], mode: str, chunk: bytes
    ) -> dict | None:
        """Return the rule that some bytes match, and count its use."""
        rule = self.find(ends, mode)
        if rule is None or rule['match'].encode() not in chunk:
            return None
        if rule.get('times', 1) <= 0:
            return None
        rule['times'] = rule.get('times', 1) - 1
        return rule

    async def pass_through(self, ends: tuple[str, str]) -> None:
        """Hold bytes back as the rules say.

        :raises OSError: when the connection is to break.
        """
        if self.find(ends, 'reset'):
            raise OSError('reset by a rule')
        while self.find(ends, 'cut') or self.find(ends, 'freeze'):
            await curio.sleep(_POLL_SECONDS)
        delay = self.find(ends, 'delay')
        if delay:
            await curio.sleep(delay['ms'] / 1000)
