"""Findings on a document, with their location and hints."""

from __future__ import annotations

import difflib
from collections.abc import Iterable

import yaml

from damaskjunction.core import Finding, SourceLocation, raise_findings

MAX_FINDINGS = 100
MAX_SHOWN_CHARACTERS = 80
MAX_NAME_CHARACTERS = 64


class FindingCollector:
    """Collects the findings on one document.

    Parameters
    ----------
    source : str
        Name of the document in findings, such as its file name.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self.findings: list[Finding] = []
        self.n_found = 0

    def add(
        self, node: yaml.Node | None, key: str, message: str, hint: str = ""
    ) -> None:
        """Record a finding at a node."""
        line = node.start_mark.line + 1 if node is not None else 0
        self.add_at(line, key, message, hint)

    def add_at(self, line: int, key: str, message: str, hint: str = "") -> None:
        """Record a finding at a line; beyond ``MAX_FINDINGS`` they are only counted."""
        self.n_found += 1
        if self.is_full:
            return
        location = SourceLocation(self.source, line, truncate_text(key))
        self.findings.append(Finding(location, message, hint))

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached, so that further findings are only counted."""
        return len(self.findings) >= MAX_FINDINGS

    def finish(self) -> None:
        """Raise the findings, if any.

        Raises
        ------
        FindingsError
            If there are findings.
        """
        findings = self.findings
        if self.n_found > len(findings):
            message = f"{self.n_found - len(findings)} more findings are not shown"
            findings = [*findings, Finding(SourceLocation(self.source), message)]
        raise_findings(f"{self.source} has {self.n_found} findings", findings)


def truncate_text(text: str) -> str:
    """Return the text truncated to ``MAX_SHOWN_CHARACTERS``, for messages."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."


def suggestion_hint(name: str, known: Iterable[str]) -> str:
    """Return a hint on an unknown name: the closest known name, or all known names."""
    names = sorted(known)
    matches = difflib.get_close_matches(name[:MAX_NAME_CHARACTERS], names, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"known: {truncate_text(', '.join(names)) or 'none'}"
