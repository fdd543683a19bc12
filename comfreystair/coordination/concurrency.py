"""Concurrent calls to instances or targets."""

import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import curio

from comfreystair.peers import PeerError
from comfreystair.tasks import contain_errors

Subject = TypeVar('Subject')


async def run_concurrently(
    call: Callable[[Subject], Awaitable[None]], subjects: Iterable[Subject]
) -> None:
    """Run a call for each subject concurrently and wait for all of them.

    An error of one call does not stop the others, and is not raised. A
    :class:`PeerError` is not logged: whoever needs the answer misses it.
    """

    async def run(subject: Subject) -> None:
        with contain_errors('call', subject), contextlib.suppress(PeerError):
            await call(subject)

    tasks = [await curio.spawn(run, subject) for subject in subjects]
    for task in tasks:
        await task.join()
