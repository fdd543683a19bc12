"""Traces: a span for each hop of some requests, a decision log for all.

Spans are kept in a ring inside the process; the exporter has no thread.
"""

import collections
import contextlib
import random
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

from opentelemetry import trace as api
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)

_ID_BITS: Final = 64
_NANOSECONDS: Final = 1000000000


class Note(NamedTuple):
    """One decision about a request."""

    step: str
    text: str


class Trace:
    """The identity of a request and the decisions made about it."""

    __slots__ = ('_ident', '_is_sampled', '_notes', '_open_spans')

    def __init__(self, ident: str, is_sampled: bool) -> None:
        """Start without decisions."""
        self._ident = ident
        self._is_sampled = is_sampled
        self._notes: list[Note] = []
        self._open_spans: list[api.Span] = []

    @property
    def ident(self) -> str:
        """Return the trace id, 16 hexadecimal digits."""
        return self._ident

    @property
    def is_sampled(self) -> bool:
        """Tell whether spans are made."""
        return self._is_sampled

    @property
    def notes(self) -> list[Note]:
        """Return the decisions so far."""
        return self._notes

    @property
    def open_spans(self) -> list[api.Span]:
        """Return the spans under way, innermost last."""
        return self._open_spans

    def note(self, step: str, text: str) -> None:
        """Add a decision."""
        self._notes.append(Note(step, text))


class SpanRecord(NamedTuple):
    """A finished span.

    :param seconds: how long it lasted.
    """

    name: str
    seconds: float
    is_failed: bool


class _RingExporter(SpanExporter):
    """Keep the spans of the newest traces."""

    def __init__(self, keep: int) -> None:
        self._keep = keep
        self._records: collections.OrderedDict[str, list[SpanRecord]] = (
            collections.OrderedDict()
        )

    @property
    def records(self) -> dict[str, list[SpanRecord]]:
        """Return the spans by trace id."""
        return self._records

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Take finished spans."""
        for span in spans:
            ident = str((span.attributes or {}).get('trace', ''))
            started = span.start_time or 0
            seconds = ((span.end_time or started) - started) / _NANOSECONDS
            is_failed = span.status.status_code is api.StatusCode.ERROR
            record = SpanRecord(span.name, seconds, is_failed)
            self._records.setdefault(ident, []).append(record)
        while len(self._records) > self._keep:
            self._records.popitem(last=False)
        return SpanExportResult.SUCCESS


class Tracer:
    """Make traces and keep the newest."""

    def __init__(self, instance: str, sample_every: int, keep: int) -> None:
        """Take how many requests share one sample, and how many are kept."""
        self._every = max(sample_every, 1)
        self._keep = keep
        self._random = random.Random()
        self._count = 0
        self._traces: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )
        self._exporter = _RingExporter(keep)
        provider = TracerProvider(resource=Resource({'service.name': instance}))
        provider.add_span_processor(SimpleSpanProcessor(self._exporter))
        self._tracer = provider.get_tracer('comfreystair')

    def start(self) -> Trace:
        """Begin the trace of a request."""
        self._count += 1
        ident = f'{self._random.getrandbits(_ID_BITS):016x}'
        trace = Trace(ident, self._count % self._every == 0)
        self._traces[ident] = trace
        if len(self._traces) > self._keep:
            self._traces.popitem(last=False)
        return trace

    @contextlib.contextmanager
    def span(self, trace: Trace, name: str) -> Iterator[None]:
        """Make the span of one hop.

        The parent is handed on by hand: tasks of one thread share the
        library's idea of a current span.
        """
        parent = trace.open_spans[-1] if trace.open_spans else None
        context = api.set_span_in_context(parent) if parent else None
        span = self._tracer.start_span(
            name, context=context, attributes={'trace': trace.ident}
        )
        trace.open_spans.append(span)
        try:
            yield
        except BaseException as error:
            span.set_status(api.Status(api.StatusCode.ERROR, repr(error)))
            raise
        finally:
            trace.open_spans.pop()
            span.end()

    def find(self, ident: str) -> dict[str, object] | None:
        """Return decisions and spans of a trace, if they are still kept."""
        trace = self._traces.get(ident)
        if trace is None:
            return None
        spans = self._exporter.records.get(ident, [])
        return {
            'trace': ident,
            'decisions': [note._asdict() for note in trace.notes],
            'spans': [span._asdict() for span in spans],
        }
