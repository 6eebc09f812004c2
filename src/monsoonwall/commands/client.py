"""Call an entry host for an operator's command."""

import sys
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from msgspec import DecodeError, json
from returns.result import Failure, Result, Success
from tornado.httpclient import HTTPClient, HTTPError

from monsoonwall.settings import OperatorSettings


class ExitStatus(IntEnum):
    """Name the exit statuses that all operators' commands share."""

    done = 0
    refused = 1
    usage = 2
    unknown = 3


@dataclass(frozen=True)
class HostResponse:
    """Hold an entry host's answer."""

    status: int
    content: Any


def call_host(
    settings: OperatorSettings, path: str, body: Any = None
) -> Result[HostResponse, str]:
    """Return the host's answer, or why there is none.

    With a body the call is a POST, without one a GET.
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
        return Failure(f'no answer from {settings.entry_address}: {error}')
    finally:
        client.close()


def print_json(content: Any) -> None:
    """Print for programs."""
    encoded = json.format(json.encode(content), indent=2)
    sys.stdout.write(f'{encoded.decode()}\n')


def print_lines(*lines: str) -> None:
    """Print for people."""
    sys.stdout.write(''.join(f'{line}\n' for line in lines))


def print_tree(content: Any, indent: str = '') -> None:
    """Print any JSON value as indented lines."""
    if isinstance(content, dict):
        for name, member in content.items():
            _print_member(f'{indent}{name}:', member, indent)
    elif isinstance(content, list):
        for member in content:
            _print_member(f'{indent}-', member, indent)
    else:
        print_lines(f'{indent}{content}')


def print_error(line: str) -> None:
    """Print what went wrong."""
    sys.stderr.write(f'{line}\n')


def _print_member(head: str, member: Any, indent: str) -> None:
    if isinstance(member, dict | list) and member:
        print_lines(head)
        print_tree(member, f'{indent}  ')
    else:
        print_lines(f'{head} {member}')
