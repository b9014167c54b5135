"""The operations that an entry node offers, independent of HTTP.

Import ``berylspread.entry.service`` directly.  This package doesn't import it,
because ``berylspread.jobs`` uses the views of this package and the service
depends on ``berylspread.jobs``.
"""
