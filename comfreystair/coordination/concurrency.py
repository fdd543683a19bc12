"""Calls to many at once."""

from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import curio

from comfreystair.peers import PeerError

Subject = TypeVar('Subject')


async def run_concurrently(
    call: Callable[[Subject], Awaitable[None]], subjects: Iterable[Subject]
) -> None:
    """Run a call for each subject; peers that fail are left out."""

    async def run(subject: Subject) -> None:
        try:
            await call(subject)
        except PeerError:
            return

    tasks = [await curio.spawn(run, subject) for subject in subjects]
    for task in tasks:
        await task.join()
