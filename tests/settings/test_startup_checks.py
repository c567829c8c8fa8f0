import socket

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.settings import (
    BalancerSettings,
    ControlSettings,
    PeerSettings,
    SettingsError,
    check_before_start,
)

SOURCE = "settings.toml"


def balancer_settings(listen, admin_listen):
    return BalancerSettings(
        name="b1",
        cluster_id="c1",
        zone="z1",
        listen=listen,
        admin_listen=admin_listen,
        control=["127.0.0.1:7000"],
    )


def test_free_ports_pass():
    check_before_start(balancer_settings("127.0.0.1:0", "127.0.0.1:0"), SOURCE)


@pytest.mark.parametrize(
    ("kind", "key"), [(socket.SOCK_DGRAM, "listen"), (socket.SOCK_STREAM, "admin_listen")]
)
def test_a_port_in_use_names_key_port_and_mend(kind, key):
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind(("127.0.0.1", 0))
        if kind == socket.SOCK_STREAM:
            holder.listen()
        taken = Endpoint(*holder.getsockname())
        addresses = {"listen": "127.0.0.1:0", "admin_listen": "127.0.0.1:0", key: str(taken)}
        with pytest.raises(SettingsError) as caught:
            check_before_start(balancer_settings(**addresses), SOURCE)
    line = caught.value.describe()
    assert line.startswith(f"{SOURCE}: {key}: ")
    assert f"port {taken} is in use" in line
    assert "choose another port" in line


def test_an_address_of_another_machine_is_refused():
    with pytest.raises(SettingsError, match="not an address of this machine"):
        check_before_start(balancer_settings("192.0.2.1:6000", "127.0.0.1:0"), SOURCE)


def control_settings(data_folder):
    return ControlSettings(
        name="k1",
        cluster_id="c1",
        zone="z1",
        replica_id=1,
        data_folder=data_folder,
        peer_listen="127.0.0.1:0",
        api_listen="127.0.0.1:0",
        peers=[PeerSettings(replica_id=1, address="127.0.0.1:7000")],
    )


def test_the_data_folder_is_made(tmp_path):
    check_before_start(control_settings(tmp_path / "a" / "b"), SOURCE)
    assert (tmp_path / "a" / "b").is_dir()


def test_a_data_folder_that_is_a_file_is_refused(tmp_path):
    (tmp_path / "data").write_text("")
    with pytest.raises(SettingsError, match=r"data_folder: .* cannot be made"):
        check_before_start(control_settings(tmp_path / "data"), SOURCE)
