"""Report what is wrong with an input, and where."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Finding:
    """Describe one fault of an input.

    ``place`` is the flag, variable, file or JSON path that is at fault.
    """

    place: str
    reason: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f'{self.place}: {self.reason}'


def format_findings(findings: Iterable[Finding]) -> str:
    """Return one line for each finding, sorted by place."""
    return '\n'.join(str(finding) for finding in sorted(findings))
