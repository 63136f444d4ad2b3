"""JSON texts that take many times their size once they are decoded."""

import json

import pytest

from gypsumshift.jsondata import (
    FREE_CONTAINERS,
    JsonDataError,
    check_density,
)
from standins.users_documents import job_body


@pytest.mark.parametrize("item", [b"[]", b"{}", b"[[]]", b'{"":[]}'])
def test_a_text_of_nearly_only_arrays_and_objects_is_refused(item):
    """1 MB of empty arrays takes 22 MB once it is decoded."""
    text = b"[" + b",".join([item] * 100_000) + b"]"
    json.loads(text)
    with pytest.raises(JsonDataError):
        check_density(text)


def test_batch_jobs_and_small_texts_are_accepted():
    check_density(job_body("job", groups=500, size=20))
    check_density(b"[]" * (FREE_CONTAINERS // 2))
