"""Cross-reference checks between the entries of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import yaml

from damaskjunction.core import ServiceName, ServiceSpec, WorkspaceName, WorkspaceSpec
from damaskjunction.settings.schema import Check, near_hint


class Names(NamedTuple):
    """Names that a configuration defines, including those of invalid entries."""

    services: frozenset[str]
    models: frozenset[str]


def find_node(node: yaml.Node, keys: Iterable[str]) -> yaml.Node:
    """Return the node at a path of keys, or its nearest ancestor that exists."""
    for key in keys:
        if not isinstance(node, yaml.MappingNode):
            return node
        for key_node, value_node in node.value:
            if key_node.value == key:
                node = value_node
                break
        else:
            return node
    return node


def check_references(
    root: yaml.Node,
    services_by_name: Mapping[ServiceName, ServiceSpec],
    names: Names,
    check: Check,
) -> None:
    """Record references to undefined models and services, and circular dependencies."""
    for service in services_by_name.values():
        if service.model and service.model not in names.models:
            message = f"no model is called {service.model!r}"
            hint = near_hint(service.model, names.models)
            _note(check, root, (service.name, "model"), message, hint)
        for other in service.depends_on:
            if other not in names.services:
                message = f"no service is called {other!r}"
                hint = near_hint(other, names.services)
                _note(check, root, (service.name, "depends_on"), message, hint)
    for cycle in find_cycles(services_by_name.values()):
        message = f"circular dependency: {' -> '.join((*cycle, cycle[0]))}"
        _note(check, root, (cycle[0], "depends_on"), message)


def _note(
    check: Check, root: yaml.Node, keys: tuple[str, str], message: str, hint: str = ""
) -> None:
    path = ("services", *keys)
    check.add(find_node(root, path), ".".join(path), message, hint)


def check_keys(
    root: yaml.Node, workspaces: Iterable[WorkspaceSpec], check: Check
) -> None:
    """Record callers' keys that two workspaces share.

    The workspace of a request made with such a key would be ambiguous.
    """
    owners_by_digest: dict[str, WorkspaceName] = {}
    for workspace in workspaces:
        for digest in workspace.key_digests:
            owner = owners_by_digest.setdefault(digest, workspace.name)
            if owner == workspace.name:
                continue
            path = ("workspaces", workspace.name, "key_digests")
            message = f"also a key of {owner!r}"
            check.add(find_node(root, path), ".".join(path), message, digest)


def find_cycle(services: Iterable[ServiceSpec]) -> tuple[ServiceName, ...]:
    """Return the services of one circular dependency, empty when there is none."""
    return next(iter(find_cycles(services)), ())


def find_cycles(services: Iterable[ServiceSpec]) -> list[tuple[ServiceName, ...]]:
    """Return circular dependencies that share no service.

    Each starts at the service whose name sorts first.
    """
    needs_by_name = {service.name: set(service.depends_on) for service in services}
    cycles: list[tuple[ServiceName, ...]] = []
    while True:
        _drop_ordered(needs_by_name)
        if not needs_by_name:
            return cycles
        cycle = _walk_cycle(needs_by_name)
        cycles.append(cycle)
        for name in cycle:
            del needs_by_name[name]


def _drop_ordered(needs_by_name: dict[ServiceName, set[ServiceName]]) -> None:
    """Repeatedly remove the services that depend on none of the remaining ones."""
    while True:
        ordered = [
            name
            for name, needs in needs_by_name.items()
            if needs.isdisjoint(needs_by_name)
        ]
        if not ordered:
            return
        for name in ordered:
            del needs_by_name[name]


def _walk_cycle(
    needs_by_name: Mapping[ServiceName, set[ServiceName]],
) -> tuple[ServiceName, ...]:
    path = [min(needs_by_name)]
    position_by_name = {path[0]: 0}
    while True:
        following = min(needs_by_name[path[-1]] & needs_by_name.keys())
        if following in position_by_name:
            cycle = path[position_by_name[following] :]
            first = cycle.index(min(cycle))
            return (*cycle[first:], *cycle[:first])
        position_by_name[following] = len(path)
        path.append(following)
