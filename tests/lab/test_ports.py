import socket

import pytest

from jasperwalk_lab.ports import PORTS, PortReservations

HOST = "127.44.0.9"
FIRST_PORT_OF_OUTGOING_SOCKETS = 32_768


def test_ports_are_distinct_and_not_those_of_outgoing_sockets():
    with PortReservations() as reservations:
        ports = [reservations.reserve(HOST).port for _ in range(40)]
    assert len(set(ports)) == len(ports)
    assert max(ports) < FIRST_PORT_OF_OUTGOING_SOCKETS
    assert set(ports) <= set(PORTS)


@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_is_held_until_it_is_released(kind):
    with PortReservations() as reservations:
        endpoint = reservations.reserve(HOST)
        with socket.socket(socket.AF_INET, kind) as other, pytest.raises(OSError, match="in use"):
            other.bind((endpoint.host, endpoint.port))
    with socket.socket(socket.AF_INET, kind) as other:
        other.bind((endpoint.host, endpoint.port))
