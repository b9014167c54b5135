"""Log records as JSON lines with the ids of the current trace and span."""

import json
import logging as python_logging
from typing import Final, final

from opentelemetry import trace

LEVEL_NAMES: Final = {
    'CRITICAL': 'fatal',
    'ERROR': 'error',
    'WARNING': 'warning',
    'INFO': 'info',
    'DEBUG': 'debug',
}


@final
class JsonFormatter(python_logging.Formatter):
    """Formats each record as one line of JSON."""

    def __init__(self, node: str) -> None:
        """Create a formatter that adds the name of the node to each line."""
        super().__init__()
        self.node = node

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the record as JSON without a newline at its end."""
        fields = {
            'kind': 'log',
            'at': record.created,
            'level': LEVEL_NAMES.get(
                record.levelname, record.levelname.lower()
            ),
            'node': self.node,
            'module': record.module,
            'line': record.lineno,
            'message': record.getMessage(),
        }
        context = trace.get_current_span().get_span_context()
        if context.is_valid:
            fields['trace_id'] = trace.format_trace_id(context.trace_id)
            fields['span_id'] = trace.format_span_id(context.span_id)
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return json.dumps(fields, default=repr)
