"""Merge the logs of several hosts into the timeline of one request."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, Final

from msgspec import DecodeError, json

_TIME_FORMAT: Final = '%Y-%m-%dT%H:%M:%S.%f%z'
# Lines about hosts and servers are included from this long before the first
# line of the request until this long after the last.
_CONTEXT_MARGIN: Final = timedelta(seconds=3)
_REQUEST_ID_FIELD: Final = 'request_id'
_REQUEST_ENDED: Final = 'Request ended.'
_REQUEST_REFUSED: Final = 'Request refused at entrance.'
_CONFIGURATION_ADOPTED: Final = 'Configuration adopted.'
_LINES_LEFT_OUT: Final = 'Lines left out.'
_HOST_MESSAGES: Final = frozenset(
    (
        'Store does not answer.',
        'Store answers again.',
        'Gateway started.',
        'Shutdown begun.',
        'Shutdown done.',
        _LINES_LEFT_OUT,
    )
)
_OMITTED_FIELDS: Final = frozenset(
    ('time', 'level', 'part', 'message', _REQUEST_ID_FIELD)
)


@dataclass(frozen=True)
class LogLine:
    """Hold one structured log line and the host that wrote it."""

    host: str
    time: datetime
    fields: Mapping[str, Any]

    @property
    def message(self) -> str:
        """Return the log message."""
        return str(self.fields.get('message', ''))


@dataclass(frozen=True)
class RequestTimeline:
    """Hold the log lines related to a request, and what they do not show."""

    lines: tuple[LogLine, ...]
    unknown: tuple[str, ...]


def read_log(host: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse the JSON lines of a log; any prefix of a line is skipped."""
    for line in lines:
        start = line.find('{"')
        if start < 0:
            continue
        try:
            fields = json.decode(line[start:])
            time = datetime.strptime(fields['time'], _TIME_FORMAT)
        except (DecodeError, LookupError, ValueError):
            # Logs also hold output of libraries and truncated lines.
            continue
        yield LogLine(host, time, fields)


def build_timeline(
    request_id: str, lines: Iterable[LogLine]
) -> RequestTimeline:
    """Return the timeline of a request, sorted by time.

    The configuration that each host used comes first.
    """
    ordered_lines = sorted(lines, key=lambda line: line.time)
    request_lines = [
        line
        for line in ordered_lines
        if line.fields.get(_REQUEST_ID_FIELD) == request_id
    ]
    if not request_lines:
        return RequestTimeline(
            (), ('no host in these logs accepted the request',)
        )
    servers = _find_servers(request_lines)
    selected_lines = [
        line
        for line in ordered_lines
        if line.fields.get(_REQUEST_ID_FIELD) == request_id
        or _is_related(line, request_lines, servers)
    ]
    configurations = _find_adopted_configurations(ordered_lines, request_lines)
    return RequestTimeline(
        (*configurations, *selected_lines),
        tuple(_list_unknown(request_lines, selected_lines)),
    )


def format_timeline(timeline: RequestTimeline) -> str:
    """Return the timeline as text, one line for each entry."""
    event_lines = [
        ' '.join(
            (
                line.time.strftime('%H:%M:%S.%f')[:-3],
                line.host,
                line.message,
                *(
                    f'{name}={content}'
                    for name, content in line.fields.items()
                    if name not in _OMITTED_FIELDS
                ),
            )
        )
        for line in timeline.lines
    ]
    unknown_lines = [f'Not known: {point}.' for point in timeline.unknown]
    return '\n'.join((*event_lines, *unknown_lines, ''))


def _find_servers(request_lines: Iterable[LogLine]) -> set[str]:
    servers = set()
    for line in request_lines:
        servers.add(line.fields.get('server'))
        for attempt in str(line.fields.get('sendings', '')).split(','):
            servers.add(attempt.partition(':')[0])
    return servers - {None, ''}


def _is_related(
    line: LogLine, request_lines: list[LogLine], servers: set[str]
) -> bool:
    if _REQUEST_ID_FIELD in line.fields:
        return False
    context_start, context_end = (
        request_lines[0].time - _CONTEXT_MARGIN,
        request_lines[-1].time + _CONTEXT_MARGIN,
    )
    if not context_start <= line.time <= context_end:
        return False
    if line.host not in {request_line.host for request_line in request_lines}:
        return False
    return (
        line.message in _HOST_MESSAGES or line.fields.get('server') in servers
    )


def _find_adopted_configurations(
    ordered_lines: list[LogLine], request_lines: list[LogLine]
) -> Iterator[LogLine]:
    """Yield each host's last adoption up to its last line on the request."""
    for host in sorted({line.host for line in request_lines}):
        request_times = [
            line.time for line in request_lines if line.host == host
        ]
        adopted = [
            line
            for line in ordered_lines
            if line.host == host
            and line.message == _CONFIGURATION_ADOPTED
            and line.time <= request_times[-1]
        ]
        yield from adopted[-1:]


def _list_unknown(
    request_lines: list[LogLine], selected_lines: list[LogLine]
) -> Iterator[str]:
    messages = {line.message for line in request_lines}
    if not messages & {_REQUEST_ENDED, _REQUEST_REFUSED}:
        yield 'how it ended; its host stopped or dropped the log line'
    for request_line in request_lines:
        if request_line.fields.get('effect') == 'unknown':
            attempts = request_line.fields.get('sendings')
            yield f'whether {attempts} took effect'
    left_out = sum(
        line.fields.get('count', 0)
        for line in selected_lines
        if line.message == _LINES_LEFT_OUT
    )
    if left_out:
        yield f'{left_out} lines that were dropped at that time'
