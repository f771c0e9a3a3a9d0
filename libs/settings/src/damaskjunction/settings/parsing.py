"""Parsing of YAML texts, in one go or in slices."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, TypeAlias, TypeVar

import yaml

from damaskjunction.settings.composer import Composer
from damaskjunction.settings.findings import FindingCollector, truncate_text

MAX_DOCUMENT_CHARACTERS = 1_000_000
MAX_DEPTH = 20

# On a configuration of 4,100 workspaces, the C parser is ten times as fast as the one
# in Python, which is used if PyYAML was built without libyaml.
YAML_LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# A slice of these sizes takes a few milliseconds.
EVENTS_PER_SLICE = 500

T = TypeVar("T")
Slices: TypeAlias = Generator[None, None, T]


def parse(text: str, collector: FindingCollector) -> yaml.Node | None:
    """Return the root node of a YAML text, or None after a finding."""
    return run_to_completion(parse_in_slices(text, collector))


def parse_in_slices(text: str, collector: FindingCollector) -> Slices[yaml.Node | None]:
    """Do the work of ``parse`` in slices; the generator yields after each."""
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        message = f"the text has more than {MAX_DOCUMENT_CHARACTERS} characters"
        collector.add(None, "", message)
        return None
    composer = Composer(MAX_DEPTH, collector.add_at)
    try:
        for number, event in enumerate(yaml.parse(text, Loader=YAML_LOADER)):
            if not composer.handle_event(event):
                return None
            if number % EVENTS_PER_SLICE == EVENTS_PER_SLICE - 1:
                yield
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        collector.add_at(line, "", f"invalid YAML: {error.problem}")
        return None
    except (yaml.YAMLError, UnicodeError) as error:
        collector.add(None, "", f"invalid YAML: {truncate_text(str(error))}")
        return None
    if composer.root is None:
        collector.add(None, "", "the text is empty")
    return composer.root


def run_to_completion(slices: Slices[T]) -> T:
    """Run all slices without a pause and return the result."""
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            result: T = stop.value
            return result
