"""Test the translation of the platform's HTTP requests and responses."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from msgspec import json
from returns.pipeline import is_successful
from tornado.httputil import HTTPHeaders, RequestStartLine

from monsoonwall.gateway.dialect import Attempt, Continuation
from monsoonwall.gateway.model import BackendServer, PromptPart
from monsoonwall.pipeline.messages import Effect, Refusal, RefusalReason
from monsoonwall.platform.dialect import PlatformDialect
from monsoonwall.transport.messages import Head

START = RequestStartLine('POST', '/hotline/1?x=%2F', 'HTTP/1.1')
SERVER = BackendServer('i-1', 'llm', '10.0.0.1:80', 'zone-a', 'v1', 64)
SYSTEM_HEADERS = (
    'X-Monsoonwall-Hold',
    'X-Monsoonwall-Pin-Ms',
    'X-Monsoonwall-Kv-Backup',
    'Kv-From',
    'Kv-Fetch',
    'X-Monsoonwall-Tenant',
    'X-Monsoonwall-Target-Instance',
    'X-Monsoonwall-Request-Priority',
    'X-Monsoonwall-Expect-Version',
    'Api-Key',
)


def make_headers(**added):
    headers = HTTPHeaders(
        {
            'Host': 'Desk.example:80',
            'X-Monsoonwall-Attempt-Id': 'a1',
            'X-Monsoonwall-Deadline-Ms': '1500',
            'X-Monsoonwall-Model': 'm',
            'X-Monsoonwall-Token-Usage': '1460,80',
            'X-Monsoonwall-Prompt-Prefix': '5c:800,91:410,e4:250',
            'Api-Key': 'key',
        }
    )
    for name, content in added.items():
        headers[name.replace('_', '-')] = content
    return headers


class RequestTest(unittest.TestCase):
    """Decode requests of callers and encode attempts."""

    def setUp(self):
        self.dialect = PlatformDialect()

    def read(self, headers, start=START):
        return self.dialect.read_request(start, headers, b'body', now=100)

    def test_request_is_decoded(self):
        request = self.read(make_headers()).unwrap()
        self.assertEqual(request.attempt_id, 'a1')
        self.assertEqual(request.host, 'desk.example')
        self.assertEqual(request.path, '/hotline/1')
        self.assertEqual(request.target, '/hotline/1?x=%2F')
        self.assertEqual(request.deadline, 101.5)
        self.assertEqual(request.key, 'key')
        self.assertEqual(request.tokens, 1540)
        self.assertEqual(request.prompt.shared_prefix_id, '91')
        self.assertEqual(request.prompt.parts[0], PromptPart('5c', 800))

    def test_ambiguous_requests_are_refused(self):
        two_hosts = make_headers()
        two_hosts.add('Host', 'other.example')
        two_ids = make_headers()
        two_ids.add('X-Monsoonwall-Attempt-Id', 'a2')
        no_id = make_headers()
        del no_id['X-Monsoonwall-Attempt-Id']
        for headers in (
            two_hosts,
            two_ids,
            no_id,
            make_headers(X_Monsoonwall_Deadline_Ms='soon'),
        ):
            refused = self.read(headers).failure()
            self.assertIs(refused.reason, RefusalReason.bad_request)
        absolute = RequestStartLine('GET', 'http://other/', 'HTTP/1.1')
        self.assertFalse(is_successful(self.read(make_headers(), absolute)))

    def test_system_headers_from_callers_are_dropped(self):
        headers = make_headers(Connection='close, X-Private', X_Private='1')
        for name in SYSTEM_HEADERS:
            headers[name] = 'forged'
        request = self.read(headers).unwrap()
        sent = self.dialect.write_attempt(
            Attempt(request, SERVER, deadline=101, workspace='depot'), now=100
        )
        sent_names, values = zip(*sent.headers, strict=True)
        self.assertNotIn('forged', values)
        self.assertNotIn('X-Private', sent_names)
        self.assertIn(('X-Monsoonwall-Tenant', 'depot'), sent.headers)
        self.assertIn(('X-Monsoonwall-Target-Instance', 'i-1'), sent.headers)
        self.assertIn(('X-Monsoonwall-Deadline-Ms', '1000'), sent.headers)
        self.assertIn(('X-Monsoonwall-Model', 'm'), sent.headers)

    def test_continued_attempt_names_run_and_last_event(self):
        request = self.read(make_headers()).unwrap()
        attempt = Attempt(
            request,
            SERVER,
            deadline=101,
            last_event_id='7',
            continuation=Continuation('10.0.0.9:80', 'h5'),
        )
        sent = self.dialect.write_attempt(attempt, now=100).headers
        self.assertIn(('Kv-From', '10.0.0.9:80/h5'), sent)
        self.assertIn(('Last-Event-Id', '7'), sent)

    @given(
        st.dictionaries(
            st.sampled_from(
                (
                    'X-Monsoonwall-Token-Usage',
                    'X-Monsoonwall-Prompt-Prefix',
                    'X-Monsoonwall-Deadline-Ms',
                    'Host',
                )
            ),
            st.text(st.characters(min_codepoint=32, max_codepoint=126)),
        )
    )
    def test_any_header_is_decoded_or_refused(self, generated):
        headers = make_headers()
        for name, text in generated.items():
            headers[name] = text
        read = self.read(headers)
        if is_successful(read):
            request = read.unwrap()
            self.assertGreaterEqual(request.deadline, 100)
            if request.prompt is not None:
                self.assertGreaterEqual(request.tokens, 0)

    def test_bytes_of_the_target_are_kept(self):
        """The bytes of UTF-8 characters reached servers encoded twice."""
        sent = '/look/1/caf\u00e9?q=\u6f22%2F'
        received = sent.encode().decode('latin-1')
        start = RequestStartLine('GET', received, 'HTTP/1.1')
        request = self.read(make_headers(), start).unwrap()
        self.assertEqual(request.target, sent)
        self.assertEqual(request.path, '/look/1/caf\u00e9')

    def test_target_that_cannot_be_passed_on_is_refused(self):
        for path in ('/look/\xe9', '/look/\x01', '/look/a b', '/look/\x7f'):
            with self.subTest(path=path):
                start = RequestStartLine('GET', path, 'HTTP/1.1')
                refusal = self.read(make_headers(), start).failure()
                self.assertIs(refusal.reason, RefusalReason.bad_request)

    def test_numbers_of_hundreds_of_digits_are_refused(self):
        """Such a request was not answered, or its channel was closed."""
        for digits in (21, 400, 5000):
            number = '9' * digits
            for name, content in (
                ('X-Monsoonwall-Token-Usage', f'1,{number}'),
                ('X-Monsoonwall-Prompt-Prefix', f'ab:{number}'),
            ):
                headers = make_headers()
                headers['X-Monsoonwall-Token-Usage'] = '1,1'
                headers[name] = content
                with self.subTest(digits=digits, name=name):
                    refusal = self.read(headers).failure()
                    self.assertIs(refusal.reason, RefusalReason.bad_request)

    def test_requests_for_any_number_of_tokens_can_be_summed(self):
        """The sum of two requests did not fit a message between hosts."""
        headers = make_headers()
        headers['X-Monsoonwall-Token-Usage'] = f'1,{2**64 - 1}'
        tokens = self.read(headers).unwrap().tokens
        self.assertLess(1_000_000 * tokens, 2**64)
        self.assertIn(
            ('X-Monsoonwall-Token-Usage', f'1,{2**64 - 1}'),
            self.read(headers).unwrap().passed_headers,
        )

    def test_header_that_cannot_be_forwarded_is_refused(self):
        """Such a header once closed the channel without a response."""
        headers = make_headers()
        headers['X-Odd'] = ' '
        self.assertFalse(is_successful(self.read(headers)))


class ResponseTest(unittest.TestCase):
    """Decode responses of servers and encode those to callers."""

    def setUp(self):
        self.dialect = PlatformDialect()

    def test_response_headers_are_decoded(self):
        response_info = self.dialect.read_response(
            Head(
                200,
                HTTPHeaders(
                    {
                        'X-Monsoonwall-Attempt-Id': 'a1',
                        'X-Monsoonwall-Response-Seal': 's',
                        'Keep-Alive': 'timeout=5, max=9',
                        'Connection': 'Close',
                    }
                ),
            )
        )
        self.assertTrue(response_info.signed)
        self.assertTrue(response_info.closes_channel)
        self.assertFalse(response_info.not_executed)
        self.assertEqual(response_info.keep_alive_seconds, 5)

    def test_not_executed_requires_header_or_status_421(self):
        declared = HTTPHeaders({'X-Monsoonwall-Not-Executed': '1'})
        plain = HTTPHeaders()
        read = self.dialect.read_response
        self.assertTrue(read(Head(503, declared)).not_executed)
        self.assertTrue(read(Head(421, plain)).not_executed)
        self.assertFalse(read(Head(503, plain)).not_executed)

    def test_not_run_statuses_are_sent_only_if_not_run(self):
        not_run_statuses = {408, 421, 429, 503}
        for reason in RefusalReason:
            for effect in Effect:
                refusal = Refusal(reason, effect, 'why', 0.25)
                status, headers, body = self.dialect.write_refusal(
                    refusal, 'a1'
                )
                if effect is not Effect.not_run:
                    self.assertNotIn(status, not_run_statuses, (reason, effect))
                decoded = json.decode(body)
                self.assertEqual(decoded['request_id'], 'a1')
                self.assertEqual(headers['Retry-After'], '0.25')
                self.assertNotIn('X-Monsoonwall-Response-Seal', headers)
