"""Request that the filters handle.

It is a ``msgspec.Struct`` because the filters set some of its fields.
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
    """One request of a session, and the fields that the filters set.

    :param batch: messages of the caller up to the next Sync, or one query.
    :param texts: text of each statement that the batch runs or describes.
    :param statement: classification of all the texts together.
    :param arrived_at: time of arrival, in monotonic seconds.
    :param sink: receives rows of a read as they arrive, if set.
    :param route: route that the request names, if any.
    :param is_read: whether the request may run at a replica.
    :param key: idempotency key, empty without one.
    :param selected_target: set by the filter ``place``.
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
