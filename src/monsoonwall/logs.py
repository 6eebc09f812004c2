"""Write logs as short sentences with a fixed prefix for each part."""

import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

_LINE_FORMAT: Final = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} '
    '[{extra[part]}] {message} {extra}'
)


def configure_logs(json_lines: bool) -> None:
    """Send all logs to standard error, as text or JSON lines."""
    logger.remove()
    logger.configure(extra={'part': 'main'})
    if json_lines:
        logger.add(sys.stderr, serialize=True, level='INFO')
    else:
        logger.add(sys.stderr, format=_LINE_FORMAT, level='INFO')


def make_logger(part: str) -> 'Logger':
    """Return the logger of one part of the process."""
    return logger.bind(part=part)
