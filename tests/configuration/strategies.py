"""Make small configurations and the histories that lead to them."""

from hypothesis import strategies as st

from monsoonwall.configuration.stored import (
    AcceptedPatch,
    StoredConfiguration,
    copy_document,
    digest_document,
    extend_stored,
)

names = st.sampled_from(('hotline', 'depot', 'market'))
weights = st.integers(min_value=1, max_value=9)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 99) | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(('a', 'b', 'services')), inner)
    ),
    max_leaves=6,
)


def make_key_hash(name):
    """Return a workspace's key hash that no other name shares."""
    return name.encode().hex().ljust(64, '0')[:64]


def make_workspace_patch(name, weight):
    """Return a merge patch that any document takes."""
    return {
        'workspaces': {
            name: {'api_key_sha256': make_key_hash(name), 'weight': weight}
        }
    }


def make_successor(before, patch, patch_id='some', padding=''):
    """Return the configuration that a merge patch leads to."""
    document = copy_document(before)
    workspaces = document.setdefault('workspaces', {})
    workspaces.update(patch['workspaces'])
    accepted = AcceptedPatch(
        before.number + 1, patch_id, 0, digest_document(document), patch
    )
    return extend_stored(before, document, accepted)


EMPTY = StoredConfiguration(0, {})
