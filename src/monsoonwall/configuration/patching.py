"""Apply operators' patches to a document."""

from typing import Any, Final

from json_merge_patch import merge
from jsonpatch import JsonPatch, JsonPatchException
from jsonpointer import JsonPointerException
from returns.result import Failure, Result, Success

from monsoonwall.configuration.schema import make_place
from monsoonwall.findings import Finding

# Operations on scalars make the library raise the last two.
_PATCH_ERRORS: Final = (
    JsonPatchException,
    JsonPointerException,
    TypeError,
    KeyError,
)


def apply_patch(document: Any, patch: Any) -> Result[Any, tuple[Finding, ...]]:
    """Return the patched document, or why the patch does not apply.

    A list is a JSON patch (RFC 6902), an object a merge patch (RFC 7386).
    The given document may be modified in place, so pass a copy.
    """
    if isinstance(patch, dict):
        return Success(merge(document, patch))
    if not isinstance(patch, list):
        return _refuse(
            '/patch', 'must be a JSON array (RFC 6902) or object (RFC 7386)'
        )
    for index, operation in enumerate(patch):
        # Apply operations one by one, so that the finding can name the one
        # that fails.
        try:
            document = JsonPatch([operation]).apply(document, in_place=True)
        except _PATCH_ERRORS as error:
            return _refuse(
                make_place('patch', index), f'does not apply: {error}'
            )
    return Success(document)


def _refuse(place: str, reason: str) -> Result[Any, tuple[Finding, ...]]:
    return Failure((Finding(place, reason),))
