"""Call an entry host and print what the operators' commands report."""

import sys
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from msgspec import DecodeError, json
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPClient, HTTPError

from monsoonwall.settings import OperatorSettings


class ExitStatus(IntEnum):
    """Enumerate the exit statuses of the operators' commands."""

    done = 0
    refused = 1
    usage = 2
    unknown = 3


@dataclass(frozen=True)
class HostResponse:
    """Hold the HTTP status and the decoded JSON body of a response."""

    status: int
    content: Any


def call_host(
    settings: OperatorSettings, path: str, body: Any = None
) -> Result[HostResponse, str]:
    """Send a request to the entry host; return the response or the error.

    Send a POST request if there is a body, and a GET request otherwise.
    """
    client = HTTPClient()
    try:
        response = client.fetch(
            f'http://{settings.entry_address}{path}',
            method='GET' if body is None else 'POST',
            body=None if body is None else json.encode(body),
            request_timeout=settings.timeout_seconds,
            connect_timeout=settings.timeout_seconds,
            raise_error=False,
        )
        return Success(HostResponse(response.code, json.decode(response.body)))
    except (HTTPError, OSError, DecodeError) as error:
        return Failure(f'no response from {settings.entry_address}: {error}')
    finally:
        client.close()


def print_json(content: Any) -> None:
    """Print indented JSON."""
    encoded = json.format(json.encode(content), indent=2)
    sys.stdout.write(f'{encoded.decode()}\n')


def print_lines(*lines: str) -> None:
    """Print lines of text."""
    sys.stdout.write(''.join(f'{line}\n' for line in lines))


def print_tree(content: Any, indent: str = '') -> None:
    """Print a JSON value as indented lines of text."""
    if isinstance(content, dict):
        for name, member in content.items():
            _print_member(f'{indent}{name}:', member, indent)
    elif isinstance(content, list):
        for member in content:
            _print_member(f'{indent}-', member, indent)
    else:
        print_lines(f'{indent}{content}')


def print_error(line: str) -> None:
    """Print an error message."""
    sys.stderr.write(f'{line}\n')


def _print_member(head: str, member: Any, indent: str) -> None:
    if isinstance(member, dict | list) and member:
        print_lines(head)
        print_tree(member, f'{indent}  ')
    else:
        print_lines(f'{head} {member}')
