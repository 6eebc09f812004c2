"""Read JSON files given on the command line."""

import sys
from pathlib import Path
from typing import Any

from msgspec import DecodeError, json
from returns.result import Failure, Result, Success

from monsoonwall.findings import Finding


def read_json_file(name: str) -> Result[Any, tuple[Finding, ...]]:
    """Return the decoded content of a file, or of standard input for ``-``."""
    if not name:
        return Failure(
            (Finding('--file', 'must be set; use - for standard input'),)
        )
    try:
        content = (
            sys.stdin.buffer.read() if name == '-' else Path(name).read_bytes()
        )
        return Success(json.decode(content))
    except OSError as error:
        return Failure((Finding('--file', str(error)),))
    except (DecodeError, RecursionError) as error:
        return Failure((Finding(name, f'is not JSON: {error}'),))
