"""Imitate a caller that reads a streamed answer and comes back for the rest."""

from http.client import HTTPConnection, HTTPException

from msgspec import json

from tests.standins.deployment import API_KEY


class Caller:
    """Follow one answer over one connection after another."""

    def __init__(self):
        self.texts = []
        self.last_event_id = ''
        self.errors = []
        self.done = False
        self.handed_over = False
        self._connection = None
        self._response = None

    @property
    def text(self):
        return ''.join(self.texts)

    @property
    def request_id(self):
        return self.last_event_id.partition(':')[0]

    def begin(self, port, **completion):
        """Send a completion to be streamed."""
        body = {'model': 'hotline', 'stream': True, **completion}
        self._send(port, 'POST', '/v1/completions', json.encode(body), {})

    def resume(self, port, request_id=''):
        """Ask any entry host for the rest."""
        self.handed_over = False
        path = f'/v1/requests/{request_id or self.request_id}'
        headers = {'Last-Event-ID': self.last_event_id}
        self._send(port, 'GET', path, None, headers)

    def read(self, tokens=None):
        """Read so many tokens, or until the response ends."""
        target_count = None if tokens is None else len(self.texts) + tokens
        try:
            while target_count is None or len(self.texts) < target_count:
                line = self._response.readline()
                if not line:
                    break
                self._process_line(line.decode().rstrip('\n'))
        except (OSError, HTTPException):
            target_count = None
        if target_count is None:
            self.close()

    def close(self):
        """Hang up."""
        self._response.close()
        self._connection.close()

    def _send(self, port, method, path, body, headers):
        self._connection = HTTPConnection('127.0.0.1', port, timeout=20)
        sent_headers = {'Authorization': f'Bearer {API_KEY}', **headers}
        self._connection.request(method, path, body, sent_headers)
        self._response = self._connection.getresponse()
        if self._response.status != 200:
            error = json.decode(self._response.read())['error']
            self.errors.append(error['code'])

    def _process_line(self, line):
        field, _, content = line.partition(': ')
        if field == 'id':
            self.last_event_id = content
        elif field == 'event':
            self.handed_over = content == 'handed_over'
        elif field == 'data' and content == '[DONE]':
            self.done = True
        elif field == 'data' and not self.handed_over:
            self._process_event(json.decode(content))

    def _process_event(self, event):
        if 'choices' not in event:
            self.errors.append(event['error']['code'])
            return
        choice = event['choices'][0]
        self.texts.extend(filter(None, [choice['text']]))
