import ipaddress

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.settings import (
    AgentSettings,
    BalancerSettings,
    ControlSettings,
    Override,
    SettingsError,
    load_settings,
)

COMMON = 'name = "p1"\ncluster_id = "c1"\nzone = "dvorana-a"\n'
FOLLOWER = COMMON + (
    'listen = "127.0.0.1:6000"\nadmin_listen = "127.0.0.1:0"\ncontrol = ["127.0.0.1:7000"]\n'
)
CONTROL = COMMON + (
    'replica_id = 1\ndata_folder = "data"\n'
    'peer_listen = "127.0.0.1:7000"\napi_listen = "127.0.0.1:0"\n'
    '[[peers]]\nreplica_id = 1\naddress = "127.0.0.1:7000"\n'
)
AGENT = FOLLOWER + (
    'backend = "127.0.0.1:8080"\nfabric = "127.0.0.1:5000"\n'
    'certificate_file = "certificate.pem"\nprivate_key_file = "key.pem"\n'
)
SECOND_PEER = '[[peers]]\nreplica_id = 1\naddress = "127.0.0.1:7001"\n'
LIST_BY_NAME = '\nplatform_list_url = "http://platform/list"'


@pytest.fixture
def settings_file(tmp_path):
    (tmp_path / "certificate.pem").write_text("certificate")
    (tmp_path / "key.pem").write_text("key")

    def write(text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        return path

    return write


def test_a_balancer_file_gives_typed_values_and_defaults(settings_file):
    settings = load_settings(settings_file(FOLLOWER), BalancerSettings)
    assert settings.listen == Endpoint("127.0.0.1", 6000)
    assert settings.control == [Endpoint("127.0.0.1", 7000)]
    assert settings.agent_networks == [ipaddress.IPv4Network("127.0.0.0/8")]
    assert (settings.heartbeat_ms, settings.replica_stale_ms) == (500, 2000)


def test_relative_paths_start_at_the_settings_file(settings_file, tmp_path):
    control = load_settings(settings_file(CONTROL), ControlSettings)
    agent = load_settings(settings_file(AGENT), AgentSettings)
    assert control.data_folder == tmp_path / "data"
    assert agent.certificate_file == tmp_path / "certificate.pem"


def test_overrides_win_over_the_file_in_their_order(settings_file):
    overrides = [
        "heartbeat_ms=250",
        "zone=dvorana-b",
        'control=["127.0.0.1:7001"]',
        Override(path=("zone",), value="dvorana-c"),
    ]
    settings = load_settings(settings_file(FOLLOWER), BalancerSettings, overrides)
    assert settings.heartbeat_ms == 250
    assert settings.zone == "dvorana-c"
    assert settings.control == [Endpoint("127.0.0.1", 7001)]


def test_overrides_alone_make_settings():
    overrides = [line.replace(" = ", "=") for line in FOLLOWER.splitlines()]
    assert load_settings(None, BalancerSettings, overrides).name == "p1"


# Model, text to replace in a valid file, its replacement, and key and words of the error line.
TEXTS = {BalancerSettings: FOLLOWER, ControlSettings: CONTROL, AgentSettings: AGENT}
ZONE = 'zone = "dvorana-a"'
FAULTS = [
    (BalancerSettings, "\nlisten", "\nlistne", "listne", "did you mean listen?"),
    (BalancerSettings, ZONE, ZONE + "\ncolour = 1", "colour", "known keys are"),
    (BalancerSettings, ZONE, "", "zone", "add it: zone that this process runs in"),
    (BalancerSettings, ZONE, "zone = 1", "zone", "valid string"),
    (BalancerSettings, ZONE, ZONE + "\nheartbeat_ms = '5'", "heartbeat_ms", "valid integer"),
    (BalancerSettings, ZONE, ZONE + "\nheartbeat_ms = 0", "heartbeat_ms", "greater than"),
    (BalancerSettings, ZONE, ZONE + "\nagent_networks = []", "agent_networks", "at least 1"),
    (BalancerSettings, ZONE, ZONE + "\nagent_networks = ['1.0.0.1/8']", "agent_networks.0", "bits"),
    (BalancerSettings, "127.0.0.1:6000", "localhost:6000", "listen", "expected IPV4:PORT"),
    (BalancerSettings, "127.0.0.1:7000", "127.0.0.1:0", "control.0", "port 0"),
    (BalancerSettings, "p1", "p 1", "name", "pattern"),
    (BalancerSettings, '"p1"', "p1", "-", "is not TOML"),
    (AgentSettings, "certificate.pem", "none.pem", "certificate_file", "no file at"),
    (ControlSettings, "replica_id = 1\ndata", "replica_id = 3\ndata", "peers", "replica_id 3"),
    (
        ControlSettings,
        "replica_id = 1\ndata",
        "join = true\nreplica_id = 1\ndata",
        "peers",
        "joins",
    ),
    (ControlSettings, "[[peers]]", SECOND_PEER + "[[peers]]", "peers", "same replica_id"),
    (ControlSettings, "[[peers]]", "[[peers]]\nport = 1", "peers.0.port", "remove it"),
    (ControlSettings, ZONE, ZONE + LIST_BY_NAME, "platform_list_url", "IPV4:PORT"),
]


@pytest.mark.parametrize(("model", "old", "new", "key", "words"), FAULTS)
def test_a_fault_is_one_line_with_file_key_and_mend(settings_file, model, old, new, key, words):
    assert old in TEXTS[model]
    path = settings_file(TEXTS[model].replace(old, new, 1))
    with pytest.raises(SettingsError) as caught:
        load_settings(path, model)
    line = caught.value.describe()
    assert line.startswith(f"{path}: {key}: ")
    assert words in line
    assert "; " in line
    assert "\n" not in line


def test_a_replica_that_joins_need_not_be_a_peer(settings_file):
    text = "join = true\n" + CONTROL.replace("replica_id = 1\ndata", "replica_id = 3\ndata")
    assert load_settings(settings_file(text), ControlSettings).replica_id == 3


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match=r"none\.toml: -: cannot be read"):
        load_settings(tmp_path / "none.toml", BalancerSettings)


def test_bytes_that_are_not_text_are_refused(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_bytes(b"name = \xff\n")
    with pytest.raises(SettingsError, match="is not UTF-8"):
        load_settings(path, BalancerSettings)


@pytest.mark.parametrize("text", ["zone", "=x", "a..b=1"])
def test_a_malformed_override_names_its_flag(settings_file, text):
    with pytest.raises(SettingsError, match=r"--set: .*key=value"):
        load_settings(settings_file(FOLLOWER), BalancerSettings, [text])


def test_an_override_below_a_plain_value_is_refused(settings_file):
    with pytest.raises(SettingsError, match=r"zone\.a: zone is not a table"):
        load_settings(settings_file(FOLLOWER), BalancerSettings, ["zone.a=1"])
