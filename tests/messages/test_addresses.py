"""Only the canonical form of an address is accepted."""

import ipaddress

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import InvalidAddress

TEXTS = [
    "0.0.0.0",
    "255.255.255.255",
    "10.1.2.3",
    "256.1.1.1",
    "1.2.3",
    "1.2.3.4.5",
    "01.2.3.4",
    "1.2.3.04",
    "1..2.3",
    "",
    " 1.2.3.4",
    "1.2.3.4 ",
    "1.2.3.-4",
    "+1.2.3.4",
    "1_0.2.3.4",
    "\u0661.2.3.4",
    "a.b.c.d",
    "1.2.3.4444444444444444444444",
]


def is_ipv4(text):
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


@pytest.mark.parametrize("text", TEXTS)
def test_the_hosts_are_those_that_the_standard_library_takes(text):
    if is_ipv4(text):
        endpoint = Endpoint.parse(f"{text}:7000")
        assert endpoint.pack() == ipaddress.IPv4Address(text).packed + bytes((0x1B, 0x58))
        assert Endpoint.unpack(endpoint.pack()) == endpoint
    else:
        with pytest.raises(InvalidAddress):
            Endpoint.parse(f"{text}:7000")


@pytest.mark.parametrize("text", ["1.2.3." + "4" * 5000 + ":7000", "1.2.3.4:" + "7" * 5000])
def test_numbers_too_long_for_python_are_invalid_addresses(text):
    with pytest.raises(InvalidAddress):
        Endpoint.parse(text)
