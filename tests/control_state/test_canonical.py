"""The bytes that come in pieces are those of one call."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jasperwalk.control.state.canonical import canonical_bytes, canonical_chunks

VALUES: st.SearchStrategy[Any] = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)


class Leaf(msgspec.Struct, array_like=True):
    number: int
    values: Any


class Tree(msgspec.Struct, array_like=True, tag=7):
    leaves: list[Leaf]
    name: str
    values: list[Any]


@settings(derandomize=True, deadline=None)
@given(values=st.lists(VALUES), number=st.integers(0, 2**40))
def test_joined_chunks_equal_the_single_encoding(values: list[Any], number: int) -> None:
    tree = Tree([Leaf(number, value) for value in values], "tree", values)
    assert b"".join(canonical_chunks(tree)) == canonical_bytes(tree)


@pytest.mark.parametrize("length", [0, 23, 24, 255, 256, 65_535, 65_536])
def test_headers_of_long_lists(length: int) -> None:
    items = [0] * length
    assert b"".join(canonical_chunks(items)) == canonical_bytes(items)
