"""OpenTelemetry metrics of a node.

The metrics read values that the node maintains for itself. They are read only
when the metrics are collected and cost nothing between two collections.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

from opentelemetry import metrics
from opentelemetry.metrics import CallbackOptions, Observation

from berylspread.entry.service import EntryService
from berylspread.kernel.invariants import violations
from berylspread.peers import GrpcPeers
from berylspread.runtime.node import Node

PREFIX: Final = 'berylspread_'

ReadValue = Callable[[], float]
ReadLabelledValues = Callable[[], Mapping[str, float]]
Callback = Callable[[CallbackOptions], Iterable[Observation]]


def register_metrics(node: Node, peers: GrpcPeers, entry: EntryService) -> None:
    """Register the node's counters and gauges with the meter."""
    meter = metrics.get_meter('berylspread.node')
    for name, read in _counters(node).items():
        meter.create_observable_counter(PREFIX + name, [_value_callback(read)])
    for name, read in _gauges(node).items():
        meter.create_observable_gauge(PREFIX + name, [_value_callback(read)])
    for name, (label, read_each) in _labelled_counters(peers, entry).items():
        meter.create_observable_counter(
            PREFIX + name, [_labelled_callback(label, read_each)]
        )


def _counters(node: Node) -> dict[str, ReadValue]:
    counts = node.appender.counts
    return {
        'log_appends': lambda: counts.appends,
        'log_append_retries': lambda: counts.retries,
        'log_append_timeouts': lambda: counts.timeouts,
        'log_records': lambda: counts.records,
        'log_appended_bytes': lambda: counts.sent_bytes,
        'log_reads': lambda: node.source.store.reads,
        'log_read_bytes': lambda: node.source.store.read_bytes,
        'log_gaps': lambda: node.reader.gap_count,
        'log_duplicates': lambda: node.state.duplicate_batches,
        'calls_late_answers': lambda: node.call_router.mismatched_replies,
    }


def _gauges(node: Node) -> dict[str, ReadValue]:
    return {
        'log_offset': lambda: node.state.offset,
        'config_version': lambda: node.context.document_follower.version,
        'units_owned': lambda: len(node.ownership.owned()),
        'jobs_active': lambda: len(node.state.jobs.active),
        'ready': lambda: float(node.is_ready),
    }


def _labelled_counters(
    peers: GrpcPeers, entry: EntryService
) -> dict[str, tuple[str, ReadLabelledValues]]:
    counters = peers.counters
    return {
        'peer_sent_messages': ('type', lambda: counters.sent_messages),
        'peer_sent_bytes': ('type', lambda: counters.sent_bytes),
        'peer_received_messages': ('type', lambda: counters.received_messages),
        'peer_received_bytes': ('type', lambda: counters.received_bytes),
        'peer_dropped': ('reason', lambda: counters.dropped),
        'invariant_violations': ('invariant', lambda: violations),
        'tickets_opened': (
            'category',
            lambda: entry.tickets.opened_by_category,
        ),
    }


def _value_callback(read: ReadValue) -> Callback:
    def callback(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read())]

    return callback


def _labelled_callback(label: str, read: ReadLabelledValues) -> Callback:
    def callback(options: CallbackOptions) -> Iterable[Observation]:
        return [
            Observation(amount, {label: name})
            for name, amount in read().items()
        ]

    return callback
