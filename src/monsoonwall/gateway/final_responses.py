"""Write the final response of requests that no server completed."""

from monsoonwall.gateway.callers import Caller
from monsoonwall.gateway.dialect import Dialect
from monsoonwall.gateway.request_state import RequestRecorder, RequestState
from monsoonwall.pipeline.messages import Refusal
from monsoonwall.transport.messages import Reply


class FinalResponder:
    """End a request by a refusal, a server's error response or an abort."""

    def __init__(self, dialect: Dialect, recorder: RequestRecorder) -> None:
        self._dialect = dialect
        self._recorder = recorder

    def finish_request(self, state: RequestState, refusal: Refusal) -> None:
        """End a request without success, and record how it ended.

        Aborts a response that has already started; otherwise relays the last
        error response of a server, or else writes the refusal.
        """
        ending = self._send_response(state, refusal)
        self._recorder.record_end(state, ending, refusal.reason, refusal.detail)

    def write_refusal(
        self, request_id: str, caller: Caller, refusal: Refusal
    ) -> None:
        """Write a refusal with its reason, effect and retry time."""
        status, headers, body = self._dialect.write_refusal(refusal, request_id)
        caller.start(status, headers)
        caller.write(body)
        caller.finish()

    def _send_response(self, state: RequestState, refusal: Refusal) -> str:
        if state.caller.started:
            # The caller must be able to detect that the stream is truncated.
            state.caller.abort()
            return 'cut'
        if state.failure_response is None:
            self.write_refusal(state.request_id, state.caller, refusal)
            return 'refused'
        self._relay_failure(state.failure_response, state.caller)
        return 'answered'

    def _relay_failure(self, reply: Reply, caller: Caller) -> None:
        headers = self._dialect.write_response_headers(reply.head)
        headers['Content-Length'] = str(len(reply.body))
        caller.start(reply.head.status, headers)
        caller.write(reply.body)
        caller.finish()
