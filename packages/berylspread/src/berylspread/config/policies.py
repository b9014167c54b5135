"""Checks of the plug-in names in a document against their registries."""

from typing import Any, Final

from berylspread.config.sections import PolicySection
from berylspread.kernel.errors import InvalidInput, UnknownName
from berylspread.kernel.options import SectionLocation
from berylspread.kernel.registry import Registry, nearest
from berylspread.placement.kernel import (
    PlacementPlugin,
    filters,
    orders,
    preemptions,
    scorers,
)

#: The registry behind each option of ``[policy]`` that names plug-ins.
plugin_registries: Final[dict[str, Registry[Any]]] = {
    'order': orders,
    'filters': filters,
    'scorers': scorers,
    'preemption': preemptions,
}


def check_policy(
    place: SectionLocation, policy: PolicySection
) -> list[InvalidInput]:
    """Return an error for each plug-in that is not registered."""
    errors = []
    for option, registry in plugin_registries.items():
        for name in selected_plugins(policy, option):
            found = registry.lookup(name)
            if isinstance(found, UnknownName):
                errors.append(_unknown_name_error(place, option, found))
    return errors


def find_plugin(
    place: SectionLocation, label: str
) -> type[PlacementPlugin] | InvalidInput:
    """Return the class of the plug-in that a section's label names.

    The label has the form ``KIND NAME``.
    """
    kind, _, name = label.partition(' ')
    registries = {entry.kind: entry for entry in plugin_registries.values()}
    registry = registries.get(kind)
    if registry is None:
        return InvalidInput(
            f'{place.source}: [{place.section}]: no kind of plug-in is called'
            f' {kind!r}',
            source=place.source,
            section=place.section,
            nearest=nearest(kind, registries),
        )
    cls = registry.lookup(name.strip())
    if isinstance(cls, UnknownName):
        return _unknown_name_error(place, 'name', cls)
    plugin: type[PlacementPlugin] = cls
    return plugin


def selected_plugins(policy: PolicySection, option: str) -> tuple[str, ...]:
    """Return the plug-ins that an option of the policy names."""
    return _plugin_names(getattr(policy, option))


def _plugin_names(value: str | tuple[str, ...]) -> tuple[str, ...]:
    if isinstance(value, str):
        return (value,) if value else ()
    return value


def _unknown_name_error(
    place: SectionLocation, option: str, found: UnknownName
) -> InvalidInput:
    return InvalidInput(
        f'{place.source}: [{place.section}] {option}: {found.reason}',
        source=place.source,
        section=place.section,
        option=option,
        nearest=found.fields['nearest'],
    )
