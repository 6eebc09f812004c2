"""Collect what is wrong with an input, each finding with its place."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Finding:
    """Name one fault of an input and where it stands."""

    place: str
    reason: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f'{self.place}: {self.reason}'


def format_findings(findings: Iterable[Finding]) -> str:
    """Return the findings as lines, sorted by place."""
    return '\n'.join(str(finding) for finding in sorted(findings))
