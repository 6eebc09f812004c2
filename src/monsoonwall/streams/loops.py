"""Repeat a step of a background task, whatever defect one step meets."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NoReturn

from monsoonwall.logs import make_logger

_log = make_logger('loops')


async def repeat_step(
    step: Callable[[], Awaitable[None]], interval_seconds: float
) -> NoReturn:
    """Repeat a step until cancelled, with pauses between.

    A defect is logged and the next step made all the same: without the
    progress of copies, say, the host would serve on and lose requests later.
    """
    while True:
        try:
            await step()
        except Exception as error:
            _log.opt(exception=error).error('A step ended by a defect.')
        await asyncio.sleep(interval_seconds)
