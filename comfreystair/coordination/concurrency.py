"""Concurrent calls to instances or targets."""

from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import curio

from comfreystair.peers import PeerError

Subject = TypeVar('Subject')


async def run_concurrently(
    call: Callable[[Subject], Awaitable[None]], subjects: Iterable[Subject]
) -> None:
    """Run a call for each subject concurrently and wait for all of them.

    A :class:`PeerError` of one call is ignored.
    """

    async def run(subject: Subject) -> None:
        try:
            await call(subject)
        except PeerError:
            return

    tasks = [await curio.spawn(run, subject) for subject in subjects]
    for task in tasks:
        await task.join()
