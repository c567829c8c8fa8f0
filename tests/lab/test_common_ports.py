"""Ports that are free on several addresses, for fleets whose processes bind them later."""

import socket

from jasperwalk_lab.ports import PORTS, common_port, common_ports

HOSTS = ("127.0.7.1", "127.0.7.2")
NAMES = tuple(f"name-{number}" for number in range(40))


def test_no_outgoing_socket_of_another_program_can_take_them():
    """With an ephemeral port (47871) no agent started: "address already in use"."""
    assert all(common_port(HOSTS) in PORTS for _ in range(20))


def test_names_get_different_ports():
    ports = common_ports(NAMES, HOSTS)
    assert tuple(ports) == NAMES
    assert len(set(ports.values())) == len(NAMES)


def test_a_port_that_one_address_uses_is_left_out():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
        port = common_port(HOSTS)
        taken.bind((HOSTS[1], port))
        assert port not in [common_port(HOSTS) for _ in range(50)]
