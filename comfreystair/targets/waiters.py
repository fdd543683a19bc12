"""Wait until a condition on shared state holds."""

from collections.abc import Callable

import curio

Condition = Callable[[], bool]


class Waiters:
    """Tasks that wait, each for its own condition."""

    def __init__(self) -> None:
        """Start with none."""
        self._waiting: list[tuple[Condition, curio.Event]] = []

    @property
    def has_any(self) -> bool:
        """Tell whether anyone waits."""
        return bool(self._waiting)

    async def wait(self, condition: Condition, seconds: float) -> bool:
        """Return whether the condition came to hold in time."""
        if condition():
            return True
        if seconds <= 0:
            return False
        entry = (condition, curio.Event())
        self._waiting.append(entry)
        try:
            async with curio.timeout_after(seconds):
                await entry[1].wait()
        except curio.TaskTimeout:
            return condition()
        finally:
            if entry in self._waiting:
                self._waiting.remove(entry)
        return True

    async def notify(self) -> None:
        """Wake those whose condition holds now."""
        ready = [entry for entry in self._waiting if entry[0]()]
        for entry in ready:
            self._waiting.remove(entry)
            await entry[1].set()
