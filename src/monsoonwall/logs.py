"""Write logs as short sentences with a fixed prefix for each part."""

import sys
from typing import TYPE_CHECKING, Any, Final

from loguru import logger
from msgspec import json

if TYPE_CHECKING:
    from loguru import Logger, Message

_TIME_FORMAT: Final = '%Y-%m-%dT%H:%M:%S.%f%z'
_PART: Final = 'part'


def configure_logs(json_lines: bool) -> None:
    """Send all logs to standard error, as text or JSON lines."""
    logger.remove()
    logger.configure(extra={_PART: 'main'})
    sink = _write_json if json_lines else _write_text
    # Tracebacks must not show the content of requests.
    logger.add(
        sink, format='{message}', level='INFO', backtrace=False, diagnose=False
    )


def make_logger(part: str) -> 'Logger':
    """Return the logger of one part of the process."""
    return logger.bind(part=part)


def _write_text(line: 'Message') -> None:
    record = line.record
    time = record['time'].strftime(_TIME_FORMAT)
    level = record['level'].name
    pairs = ''.join(
        f' {name}={content}'
        for name, content in record['extra'].items()
        if name != _PART
    )
    # The line ends in a newline and holds the traceback, if there is one.
    sentence, _, rest = str(line).partition('\n')
    part = record['extra'][_PART]
    sys.stderr.write(f'{time} {level} [{part}] {sentence}{pairs}\n{rest}')


def _write_json(line: 'Message') -> None:
    record = line.record
    fields: dict[str, Any] = {
        'time': record['time'].strftime(_TIME_FORMAT),
        'level': record['level'].name,
        **record['extra'],
        'message': record['message'],
    }
    if record['exception'] is not None:
        fields['exception'] = str(line)
    content = json.encode(fields, enc_hook=str)
    sys.stderr.write(f'{content.decode()}\n')
