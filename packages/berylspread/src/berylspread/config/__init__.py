"""Documents: sections, checks and differences.

The modules ``config.operations`` and ``config.keys`` also use the log, whose
fold reads documents.  They are not imported here, to avoid an import cycle.
"""

from berylspread.config.checks import (
    check_change,
    check_usage,
    document_check,
    parse_document,
)
from berylspread.config.difference import Change, diff
from berylspread.config.document import Document, InvalidDocument
from berylspread.config.document_warnings import (
    DocumentWarning,
    find_warnings,
    warning_check,
)
from berylspread.config.limits import FleetLimits, read_limits
from berylspread.config.policies import plugin_registries
from berylspread.config.review import Consequence, Review, review_document
from berylspread.config.sections import (
    DocumentSection,
    LimitsSection,
    OrganisationSection,
    PolicySection,
    QueueSection,
    RegionSection,
    TeamSection,
    TimingSection,
    WorkerClassSection,
    ZoneSection,
    document_section,
    section_kinds,
)

__all__ = (
    'Change',
    'Consequence',
    'Document',
    'DocumentSection',
    'DocumentWarning',
    'FleetLimits',
    'InvalidDocument',
    'LimitsSection',
    'OrganisationSection',
    'PolicySection',
    'QueueSection',
    'RegionSection',
    'Review',
    'TeamSection',
    'TimingSection',
    'WorkerClassSection',
    'ZoneSection',
    'check_change',
    'check_usage',
    'diff',
    'document_check',
    'document_section',
    'find_warnings',
    'parse_document',
    'plugin_registries',
    'read_limits',
    'review_document',
    'section_kinds',
    'warning_check',
)
