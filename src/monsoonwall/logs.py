"""Write log lines as text or JSON, labelled with the component that logs."""

import os
import sys
import time
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from loguru import logger
from msgspec import json

if TYPE_CHECKING:
    from loguru import Logger, Message

_TIME_FORMAT: Final = '%Y-%m-%dT%H:%M:%S.%f%z'
_PART_FIELD: Final = 'part'
_STDOUT_DESCRIPTOR: Final = 1
# Lines with the same message written each second; more are only counted.
_MAX_LINES_PER_SECOND: Final = 100
# Bytes buffered for a slow reader; beyond them lines are dropped.
_MAX_BUFFERED_BYTES: Final = 1_000_000


def configure_logs(json_lines: bool) -> None:
    """Write all logs to standard error, as text or JSON lines."""
    logger.remove()
    logger.configure(extra={_PART_FIELD: 'main'})
    sink = _write_json if json_lines else _write_text
    # Tracebacks must not show variables, which may hold request content.
    logger.add(
        sink, format='{message}', level='INFO', backtrace=False, diagnose=False
    )


class BoundedOutput:
    """Write lines to a file descriptor without ever blocking.

    Lines are dropped when a message is repeated too often within a second, or
    when the reader falls too far behind. Before the first line of a later
    second, a line with the number of dropped lines is written.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = b''
        self._second = 0
        self._message_counts: dict[str, int] = {}
        self._dropped_lines = 0

    def write(self, message: str, line: bytes) -> None:
        """Write a line, or drop and count it."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._message_counts.clear()
            self._report_dropped_lines()
        count = self._message_counts.get(message, 0)
        self._message_counts[message] = count + 1
        if (
            count >= _MAX_LINES_PER_SECOND
            or len(self._buffer) > _MAX_BUFFERED_BYTES
        ):
            self._dropped_lines += 1
            return
        self._buffer += line
        self._flush()

    def _report_dropped_lines(self) -> None:
        if self._dropped_lines:
            notice = json.encode(
                {'message': 'Lines left out.', 'count': self._dropped_lines}
            )
            self._dropped_lines = 0
            self._buffer += _end_line(notice)

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # No reader is left, so discard the buffered lines.
            self._buffer = b''
            return
        self._buffer = self._buffer[written:]


def configure_bounded_logs() -> None:
    """Write all logs to standard output as JSON lines, with bounded volume."""
    logger.remove()
    logger.configure(extra={_PART_FIELD: 'main'})
    logger.add(
        partial(_write_bounded, BoundedOutput(_STDOUT_DESCRIPTOR)),
        format='{message}',
        level='INFO',
        backtrace=False,
        diagnose=False,
    )


def make_logger(part: str) -> 'Logger':
    """Return a logger whose lines name a component, in the field ``part``."""
    return logger.bind(part=part)


def _write_text(line: 'Message') -> None:
    record = line.record
    timestamp = record['time'].strftime(_TIME_FORMAT)
    level = record['level'].name
    pairs = ''.join(
        f' {name}={content}'
        for name, content in record['extra'].items()
        if name != _PART_FIELD
    )
    # The formatted text is the message, a newline and any traceback.
    message, _, traceback = str(line).partition('\n')
    part = record['extra'][_PART_FIELD]
    sys.stderr.write(
        f'{timestamp} {level} [{part}] {message}{pairs}\n{traceback}'
    )


def _write_bounded(output: BoundedOutput, line: 'Message') -> None:
    output.write(line.record['message'], _encode_json(line))


def _write_json(line: 'Message') -> None:
    sys.stderr.write(_encode_json(line).decode())


def _encode_json(line: 'Message') -> bytes:
    record = line.record
    fields: dict[str, Any] = {
        'time': record['time'].strftime(_TIME_FORMAT),
        'level': record['level'].name,
        **record['extra'],
        'message': record['message'],
    }
    if record['exception'] is not None:
        fields['exception'] = str(line)
    return _end_line(json.encode(fields, enc_hook=str))


def _end_line(content: bytes) -> bytes:
    return b'%s\n' % content
