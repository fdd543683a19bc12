"""Keep tasks running when something in them fails unexpectedly.

An error that nobody expects must not end a task that others rely on, nor stop
the items after the one that caused it. Cancellation is no error and passes.
"""

import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Final

import curio
from loguru import logger

# Delay before a task that has failed starts again, in seconds.
_RESTART_DELAY_SECONDS: Final = 0.5
_MAX_REASON_CHARACTERS: Final = 200


@contextlib.contextmanager
def contain_errors(step: str, subject: object = '') -> Iterator[None]:
    """Log any error of one item, so that the others are still handled.

    :param step: what was done with it.
    :param subject: the item, such as the name of a group.
    """
    try:
        yield
    except (Exception, curio.TaskTimeout) as error:
        logger.error(
            'event=item_failed step={} subject="{}" error="{}"',
            step,
            subject,
            describe_error(error),
        )


async def run_supervised(
    call: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Run a task for good; after an error it starts again."""
    is_running = True
    while is_running:
        with contain_errors('run', getattr(call, '__qualname__', call)):
            await call(*arguments)
            is_running = False
        if is_running:
            await curio.sleep(_RESTART_DELAY_SECONDS)


def describe_error(error: BaseException) -> str:
    """Return the type and the message of an error, of limited length."""
    described = f'{type(error).__name__}: {error}'
    return described[:_MAX_REASON_CHARACTERS]
