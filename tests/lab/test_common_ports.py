"""Ports that several addresses share, for fleets whose processes take them a moment later."""

import socket

from jasperwalk_lab.ports import PORTS, common_port, common_ports

HOSTS = ("127.0.7.1", "127.0.7.2")
NAMES = tuple(f"name-{number}" for number in range(40))


def test_no_outgoing_socket_of_another_program_can_take_them():
    """Soak, seed 312: no agent started, "address already in use" at a port of 47871."""
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
