"""One request on its way through the filters.

A ``msgspec.Struct`` because filters add to it.
"""

from collections.abc import Awaitable, Callable

import msgspec

from comfreystair.filters.session import SelectedTarget, SessionState
from comfreystair.manifest.schema import Route
from comfreystair.observability.traces import Trace
from comfreystair.routing.statements import Statement
from comfreystair.targets.connection import Answer, Sink
from comfreystair.wire.batches import Batch


class Request(msgspec.Struct):
    """What a filter gets and adds to.

    :param texts: text of each statement that the batch runs or describes.
    :param statement: all of them classified together.
    :param arrived_at: monotonic seconds.
    :param route: the named route, absent for plain reads and writes.
    :param key: idempotency key, empty without one.
    """

    session: SessionState
    batch: Batch
    texts: tuple[str, ...]
    statement: Statement
    trace: Trace
    arrived_at: float
    sink: Sink | None = None
    route: Route | None = None
    is_read: bool = False
    key: str = ''
    selected_target: SelectedTarget | None = None


Handler = Callable[[Request], Awaitable[Answer]]
