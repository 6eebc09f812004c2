"""HTTP client for the platform calls of the lease holder."""

from types import MappingProxyType
from typing import Any, Final

from msgspec import json

from monsoonwall.gateway.duties import (
    DutyCalls,
    DutyEnding,
    LeaseHolder,
    ServerOrder,
    UsageReport,
)
from monsoonwall.logs import make_logger
from monsoonwall.metrics import GATEWAY_DUTY_CALLS
from monsoonwall.transport.channels import call
from monsoonwall.transport.messages import OutgoingRequest

# The platform responds within milliseconds, or hundreds of them if it is slow.
_CALL_TIMEOUT_SECONDS: Final = 1.0
_LOGGED_BYTES: Final = 120
_HOLDER_HEADER: Final = 'X-Monsoonwall-Duty-Holder'
_FENCING_NUMBER_HEADER: Final = 'X-Monsoonwall-Fencing-Token'
_ENDINGS: Final = MappingProxyType(
    {
        200: DutyEnding.done,
        409: DutyEnding.refused,
        429: DutyEnding.unavailable,
        503: DutyEnding.unavailable,
    }
)

_log = make_logger('duty')


class PlatformDuties(DutyCalls):
    """Report usage and order servers, with a new channel for each call."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def report_usage(
        self, holder: LeaseHolder, report: UsageReport
    ) -> DutyEnding:
        """Report the usage of a window; reports are idempotent."""
        return await self._call(
            holder,
            '/usage',
            {'window': report.number, 'counts': dict(report.counts)},
        )

    async def order_servers(
        self, holder: LeaseHolder, order: ServerOrder
    ) -> DutyEnding:
        """Order how many servers of one kind a zone should have in total."""
        payload: dict[str, Any] = {
            'service': order.service,
            'zone': order.zone,
            'desired': order.count,
        }
        if order.spot:
            payload['spot'] = True
        return await self._call(holder, '/scale', payload)

    async def _call(
        self, holder: LeaseHolder, path: str, payload: dict[str, Any]
    ) -> DutyEnding:
        request = OutgoingRequest(
            'POST',
            path,
            (
                (_HOLDER_HEADER, holder.host_name),
                (_FENCING_NUMBER_HEADER, str(holder.fencing_number)),
                ('Content-Type', 'application/json'),
            ),
            json.encode(payload),
        )
        ending, detail = await self._fetch(request)
        GATEWAY_DUTY_CALLS.labels(path, ending).inc()
        _log.info(
            'Duty call ended.',
            path=path,
            told=payload,
            fencing_number=holder.fencing_number,
            ending=ending,
            detail=detail,
        )
        return ending

    async def _fetch(self, request: OutgoingRequest) -> tuple[DutyEnding, str]:
        try:
            reply = await call(self._address, request, _CALL_TIMEOUT_SECONDS)
        except (ConnectionResetError, TimeoutError) as error:
            return DutyEnding.lost, repr(error)
        except OSError as error:
            return DutyEnding.unavailable, repr(error)
        status = reply.head.status
        body = reply.body[:_LOGGED_BYTES].decode(errors='replace')
        ending = _ENDINGS.get(status, DutyEnding.lost)
        return ending, f'{status} {body}'
