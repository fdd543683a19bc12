"""Callers that write and read one item each, through any instance."""

import random
import threading
from typing import Final

from standins.platform.deployment import Caller, Deployment
from standins.soak.checks import ItemHistory

_PAUSE_SECONDS: Final = 0.01
# One session in this many statements is left for another instance.
_ROAM_SHARE: Final = 0.05
# Half of the statements are writes.
_WRITE_SHARE: Final = 0.5
# The database whose sessions read their own writes.
OWN_WRITES: Final = 'own'
_LOST: Final = 'LOST'


class ItemCaller(threading.Thread):
    """Write and read until told to stop."""

    def __init__(
        self, deployment: Deployment, name: str, seed: int, database: str
    ) -> None:
        """Take the deployment; nothing is asked before :meth:`start`."""
        super().__init__(daemon=True)
        self.history = ItemHistory(name)
        self.served = 0
        self._deployment = deployment
        self._draw = random.Random(f'{seed}/{name}')
        self._database = database
        self._ending = threading.Event()
        self._caller: Caller | None = None
        self._number = 0

    def run(self) -> None:
        """Go on through every loss of a connection."""
        while not self._ending.is_set():
            if self._draw.random() < _ROAM_SHARE:
                self._leave()
            if self._draw.random() < _WRITE_SHARE:
                self._write()
            else:
                self._read()
            self._ending.wait(_PAUSE_SECONDS)
        self._leave()

    def stop(self) -> None:
        """End after the statement under way."""
        self._ending.set()
        self.join()

    def _write(self) -> None:
        self._number += 1
        content = f'v{self._number}'
        ident, line = self._ask(f'WRITE {self.history.name} {content}')
        if ident:
            self.history.take_write(ident, content, line)

    def _read(self) -> None:
        _ident, line = self._ask(f'READ {self.history.name}')
        self.history.take_read(line)

    def _ask(self, text: str) -> tuple[str, str]:
        """Return the statement's id, empty if unsent, and its first line."""
        caller = self._find_caller()
        if caller is None:
            return '', _LOST
        try:
            line = caller.ask(text)[0]
        except OSError:
            line = ''
        if not line:
            self._leave()
            return caller.last_ident, _LOST
        self.served += not line.startswith('ERROR')
        return caller.last_ident, line

    def _find_caller(self) -> Caller | None:
        if self._caller is not None:
            return self._caller
        port = self._draw.choice(self._deployment.callers_ports)
        try:
            caller = Caller(port, self._database)
        except OSError:
            return None
        if not caller.greeting.startswith('READY'):
            caller.close()
            return None
        self._caller = caller
        if self._database == OWN_WRITES:
            self.history.take_session()
        return caller

    def _leave(self) -> None:
        if self._caller is not None:
            self._caller.close()
            self._caller = None
