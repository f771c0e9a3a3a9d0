"""Cross-reference checks between the entries of a configuration."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import yaml

from damaskjunction.core import ServiceName, ServiceSpec, WorkspaceName, WorkspaceSpec
from damaskjunction.settings.findings import FindingCollector, suggestion_hint


class DefinedNames(NamedTuple):
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
    names: DefinedNames,
    collector: FindingCollector,
) -> None:
    """Record references to undefined models and services, and circular dependencies."""
    for service in services_by_name.values():
        if service.model and service.model not in names.models:
            message = f"no model is called {service.model!r}"
            hint = suggestion_hint(service.model, names.models)
            _add_finding(collector, root, (service.name, "model"), message, hint)
        for dependency in service.depends_on:
            if dependency not in names.services:
                message = f"no service is called {dependency!r}"
                hint = suggestion_hint(dependency, names.services)
                _add_finding(
                    collector, root, (service.name, "depends_on"), message, hint
                )
    for cycle in find_cycles(services_by_name.values()):
        message = f"circular dependency: {' -> '.join((*cycle, cycle[0]))}"
        _add_finding(collector, root, (cycle[0], "depends_on"), message)


def _add_finding(
    collector: FindingCollector,
    root: yaml.Node,
    keys: tuple[str, str],
    message: str,
    hint: str = "",
) -> None:
    path = ("services", *keys)
    collector.add(find_node(root, path), ".".join(path), message, hint)


def check_caller_keys(
    root: yaml.Node, workspaces: Iterable[WorkspaceSpec], collector: FindingCollector
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
            collector.add(find_node(root, path), ".".join(path), message, digest)


def find_cycle(services: Iterable[ServiceSpec]) -> tuple[ServiceName, ...]:
    """Return the services of one circular dependency, empty when there is none."""
    return next(iter(find_cycles(services)), ())


def find_cycles(services: Iterable[ServiceSpec]) -> list[tuple[ServiceName, ...]]:
    """Return circular dependencies that share no service.

    Each starts at the service whose name sorts first.
    """
    dependencies_by_name = {
        service.name: set(service.depends_on) for service in services
    }
    cycles: list[tuple[ServiceName, ...]] = []
    while True:
        _remove_acyclic(dependencies_by_name)
        if not dependencies_by_name:
            return cycles
        cycle = _find_one_cycle(dependencies_by_name)
        cycles.append(cycle)
        for name in cycle:
            del dependencies_by_name[name]


def _remove_acyclic(dependencies_by_name: dict[ServiceName, set[ServiceName]]) -> None:
    """Repeatedly remove the services that depend on none of the remaining ones."""
    while True:
        resolved = [
            name
            for name, dependencies in dependencies_by_name.items()
            if dependencies.isdisjoint(dependencies_by_name)
        ]
        if not resolved:
            return
        for name in resolved:
            del dependencies_by_name[name]


def _find_one_cycle(
    dependencies_by_name: Mapping[ServiceName, set[ServiceName]],
) -> tuple[ServiceName, ...]:
    path = [min(dependencies_by_name)]
    position_by_name = {path[0]: 0}
    while True:
        successor = min(dependencies_by_name[path[-1]] & dependencies_by_name.keys())
        if successor in position_by_name:
            cycle = path[position_by_name[successor] :]
            first = cycle.index(min(cycle))
            return (*cycle[first:], *cycle[:first])
        position_by_name[successor] = len(path)
        path.append(successor)
