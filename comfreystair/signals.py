"""Wait for signals on the loop."""

import signal

from curio import socket

_READ_BYTES = 64


class SignalReader:
    """Receives signals for the life of a process.

    One that arrives while another one is handled is kept, so that none is
    lost between two reads.
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        """Receive some signals from now on."""
        reader, writer = socket.socketpair()
        writer.setblocking(False)
        self._reader = reader
        self._writer = writer
        self._received: list[int] = []
        for number in numbers:
            signal.signal(number, _ignore)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    async def read(self) -> int:
        """Return the number of the next signal."""
        while not self._received:
            self._received.extend(await self._reader.recv(_READ_BYTES))
        return self._received.pop(0)


def _ignore(_number: int, _frame: object) -> None:
    """Let the wakeup descriptor tell the loop."""
