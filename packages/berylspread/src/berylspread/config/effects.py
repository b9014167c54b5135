"""What a change of a document does to callers."""

from typing import Final

from berylspread.config.checks import LIMIT_OPTIONS
from berylspread.config.difference import Change
from berylspread.config.document import Document
from berylspread.config.sections import DocumentSection

#: What a change does, by the kind of the section and the option; the option is
#: empty for a whole section.
ADDED_EFFECTS: Final = {
    ('queue', ''): 'callers may use it',
    ('team', ''): 'keys may be created for it',
}
REMOVED_EFFECTS: Final = {
    ('queue', ''): 'its callers are refused; accepted jobs go on',
    ('team', ''): 'its keys are refused',
    ('region', ''): 'its part of each limit goes to the other regions',
}
CHANGED_EFFECTS: Final = {
    ('queue', 'team'): (
        'keys of the former team are refused here, those of the new one'
        ' accepted'
    ),
    ('queue', 'open'): 'decides whether callers need a key',
    ('queue', 'region'): 'new jobs run in the other region',
    ('queue', 'kind'): 'accepted jobs keep their kind, new ones have the other',
    ('team', 'organisation'): 'the team is entitled to another share',
    ('team', 'share'): 'the team is entitled to another share',
    ('organisation', 'share'): 'all teams below are entitled to another share',
    ('organisation', 'parent'): 'all teams below are entitled to another share',
}
LOWER_LIMIT: Final = (
    'refused if more is in use, unless forced; tasks above it are then'
    ' preempted'
)
HIGHER_LIMIT: Final = 'more tasks may run at once'
#: The resource that each option of a limit bounds.
LIMITED_DIMENSIONS: Final = {
    option: dimension for dimension, option in LIMIT_OPTIONS.items()
}


def find_effect(before: Document, after: Document, change: Change) -> str:
    """Return what a change does, empty if callers don't notice it.

    The options of a section that was added or removed have no effect beside
    that of the section, nor has a value that is only written in another way.
    """
    kind, _, label = change.section.partition(' ')
    if not change.option:
        effects = ADDED_EFFECTS if change.before is None else REMOVED_EFFECTS
        return effects.get((kind, ''), '')
    old = _section(before, kind, label)
    new = _section(after, kind, label)
    if old is None or new is None:
        return ''
    attribute = type(new).options()[change.option].attribute
    if getattr(old, attribute) == getattr(new, attribute):
        return ''
    if change.option in LIMITED_DIMENSIONS:
        return _limit_effect(before, after, label.strip(), change.option)
    return CHANGED_EFFECTS.get((kind, change.option), '')


def _section(
    document: Document, kind: str, label: str
) -> DocumentSection | None:
    return document.sections.get(kind, {}).get(label.strip())


def _limit_effect(
    before: Document, after: Document, team: str, option: str
) -> str:
    dimension = LIMITED_DIMENSIONS[option]
    old = getattr(before.team_limit(team), dimension)
    new = getattr(after.team_limit(team), dimension)
    if old == new:
        return ''
    # A limit of 0 allows any number.
    is_lower = new and (not old or new < old)
    return LOWER_LIMIT if is_lower else HIGHER_LIMIT
