"""The caller recognises stateless resets, and no other packets as such."""

from __future__ import annotations

import random

import pytest

from jasperwalk.agent.stateless_reset import reset_packet
from jasperwalk_lab.http3_client import is_stateless_reset

TOKEN, OTHER_TOKEN = bytes(range(16)), bytes(range(16, 32))


@pytest.mark.parametrize("length", [22, 40, 1200])
def test_an_agents_stateless_resets_are_recognised_by_their_token(length):
    packet = reset_packet(TOKEN, length, random.Random(1))
    assert is_stateless_reset(packet, {OTHER_TOKEN, TOKEN})
    assert not is_stateless_reset(packet, {OTHER_TOKEN, b""})


@pytest.mark.parametrize("head", [b"\x40" + bytes(3), b"\xc0" + bytes(4)])
def test_too_short_and_long_header_packets_are_no_resets(head):
    assert not is_stateless_reset(head + TOKEN, {TOKEN})
