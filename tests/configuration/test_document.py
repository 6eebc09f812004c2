"""Test the checks of documents, patches and stored objects."""

import copy
import unittest
from dataclasses import fields

from hypothesis import given
from hypothesis import strategies as st
from msgspec import json
from returns.pipeline import is_successful

from monsoonwall.configuration.document import check_document
from monsoonwall.configuration.model import (
    BackendServer,
    Configuration,
    LatencyTarget,
    Move,
    Route,
    Service,
    Version,
    Workspace,
)
from monsoonwall.configuration.patching import apply_patch
from monsoonwall.configuration.schema import SCHEMA
from monsoonwall.configuration.stored import (
    StoredConfiguration,
    decode_stored,
    encode_stored,
)
from tests.configuration.strategies import json_values
from tests.runner import ROOT

EXAMPLES = {
    path.stem: json.decode(path.read_bytes())
    for path in (ROOT / 'examples').glob('*.json')
}
operations = st.fixed_dictionaries(
    {
        'op': st.sampled_from(('add', 'remove', 'replace', 'move', 'test')),
        'path': st.sampled_from(('', '/a', '/a/b', '/a/0', '/a/-', 'x', '/')),
    },
    optional={'value': json_values, 'from': st.sampled_from(('/a', ''))},
)


def list_places(document):
    """Return the places of all findings in a document."""
    checked = check_document(document, 1)
    if is_successful(checked):
        return []
    return [finding.place for finding in checked.failure()]


class DocumentTest(unittest.TestCase):
    """Test that each finding is reported with its place."""

    def setUp(self):
        self.document = copy.deepcopy(EXAMPLES['association'])

    def test_examples_have_no_findings(self):
        for name, document in EXAMPLES.items():
            with self.subTest(name=name):
                self.assertEqual(list_places(document), [])

    def test_every_structural_finding(self):
        self.document['rutes'] = {}
        self.document['services']['ledger'].pop('kind')
        self.document['workspaces']['hotline']['weight'] = 0
        self.document['workspaces']['a/b'] = {'api_key_sha256': 'f' * 64}
        self.document['backend_servers']['ledger-1']['price_per_hour'] = '1'
        self.assertEqual(
            list_places(self.document),
            [
                '/',
                '/backend_servers/ledger-1/price_per_hour',
                '/services/ledger',
                '/workspaces',
                '/workspaces/hotline/weight',
            ],
        )

    def test_every_reference_finding(self):
        self.document['services']['ledger']['active_version'] = 'v2'
        self.document['services']['assistant']['versions']['v2'] = {}
        self.document['services']['assistant']['active_version'] = 'v2'
        self.document['routes']['hotline']['service'] = 'nobody'
        self.document['routes']['stock-lookup'].pop('path_prefix')
        self.document['backend_servers']['ledger-2']['address'] = 'here'
        copied = self.document['workspaces']['hotline']
        self.document['workspaces']['zz'] = copied
        plan = {'service': 'assistant', 'from_version': 'v1'}
        times = {'begin_wall': 10, 'deadline_wall': 20}
        self.document['moves'] = {
            'one': {**plan, 'to_version': 'v2', **times},
            'two': {**plan, 'to_version': 'v3', **times, 'begin_wall': 19},
            'back': {**plan, 'to_version': 'v1', 'begin_wall': 9, **times}
            | {'deadline_wall': 10},
        }
        self.assertEqual(
            list_places(self.document),
            [
                '/backend_servers/ledger-2/address',
                '/moves/back/deadline_wall',
                '/moves/back/to_version',
                '/moves/two/begin_wall',
                '/moves/two/to_version',
                '/routes/hotline/service',
                '/routes/stock-lookup/path_prefix',
                '/services/assistant/active_version',
                '/services/ledger/active_version',
                '/workspaces/zz/api_key_sha256',
            ],
        )

    def test_changed_entries_are_checked_alone(self):
        checked = copy.deepcopy(self.document)
        self.document['workspaces']['hotline']['weight'] = -1
        self.document['routes']['new'] = {}
        findings = check_document(self.document, 2, checked).failure()
        self.assertEqual(
            [finding.place for finding in findings],
            ['/routes/new', '/workspaces/hotline/weight'],
        )

    @given(json_values)
    def test_any_value_gives_a_result(self, document):
        check_document(document, 1)

    def test_schema_covers_every_field(self):
        for kind, section in (
            (Service, 'service'),
            (Version, 'version'),
            (Route, 'route'),
            (LatencyTarget, 'latency_target'),
            (Workspace, 'workspace'),
            (BackendServer, 'backend_server'),
            (Move, 'move'),
        ):
            with self.subTest(section=section):
                known = SCHEMA['$defs'][section]['properties']
                self.assertEqual(
                    {field.name for field in fields(kind)}, set(known)
                )
        sections = {field.name for field in fields(Configuration)}
        self.assertEqual(sections - {'number'}, set(SCHEMA['properties']))


class PatchingTest(unittest.TestCase):
    """Test that patches apply, or report the operation that fails."""

    @given(document=json_values, patch=st.lists(operations, max_size=3))
    def test_any_operations_give_a_result(self, document, patch):
        apply_patch(document, patch)

    @given(document=json_values, patch=json_values)
    def test_any_patch_gives_a_result(self, document, patch):
        apply_patch(document, patch)

    def test_failing_operation_is_named(self):
        operation = {'op': 'replace', 'path': '/a', 'value': 2}
        missing = {'op': 'remove', 'path': '/b'}
        refused = apply_patch({'a': 1}, [operation, missing])
        self.assertEqual(refused.failure()[0].place, '/patch/1')

    def test_merge_patch_removes_by_null(self):
        patched = apply_patch({'a': {'b': 1, 'c': 2}}, {'a': {'b': None}})
        self.assertEqual(patched.unwrap(), {'a': {'c': 2}})


class StoredTest(unittest.TestCase):
    """Test the encoding of the platform's object."""

    def test_large_documents_are_compressed(self):
        servers = {f'server-{index}': {'zone': 'a'} for index in range(20_000)}
        stored = StoredConfiguration(7, {'backend_servers': servers})
        content = encode_stored(stored)
        self.assertLess(len(content), 200_000)
        self.assertEqual(decode_stored(content).unwrap(), stored)
        self.assertFalse(is_successful(decode_stored(content[:-9])))

    @given(st.binary(max_size=40))
    def test_any_content_gives_a_result(self, content):
        decode_stored(content)
        decode_stored(b'{' + content)
