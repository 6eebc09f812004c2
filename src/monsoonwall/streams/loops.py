"""Repeat a step of a background task, also after exceptions."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NoReturn

from monsoonwall.logs import make_logger

_log = make_logger('loops')


async def repeat_step(
    step: Callable[[], Awaitable[None]], interval_seconds: float
) -> NoReturn:
    """Repeat a step until cancelled, pausing in between.

    An exception is logged and the loop continues. Otherwise a host could, for
    example, keep serving without updating copies, and lose requests later.
    """
    while True:
        try:
            await step()
        except Exception as error:
            _log.opt(exception=error).error('Background step failed.')
        await asyncio.sleep(interval_seconds)
