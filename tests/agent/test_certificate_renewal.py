"""A renewed certificate for callers: new flows use it, open ones continue."""

from types import SimpleNamespace

import pytest

from jasperwalk.agent.certificate_renewal import CertificateRenewal
from jasperwalk.agent.quic_settings import server_configuration
from jasperwalk.transport.file_monitor import POLL_SECONDS


class Renewal:
    """An endpoint with the certificate files of the agent `host`."""

    def __init__(self, helpers, certificates):
        self.helpers = helpers
        self.now = 0.0
        self.files = certificates.tls("agent", "host")._files
        pair = (self.files.certificate_file, self.files.private_key_file)
        named = SimpleNamespace(certificate=str(pair[0]), private_key=str(pair[1]))
        view = helpers.make_view(helpers.member_entry(helpers.AGENT))
        self.endpoint = helpers.make_endpoint(named, view, 1)
        self.renewal = CertificateRenewal(*pair, server_configuration, lambda: self.now)

    def check_files(self):
        self.now += POLL_SECONDS
        self.renewal.check_files(self.endpoint)

    def connect(self):
        caller = self.helpers.Caller(0.0)
        network = self.helpers.Network(self.endpoint, caller, 1, 0.0)
        assert network.run(lambda: caller.quic._handshake_confirmed)
        return caller, network

    def serial_number(self):
        return self.connect()[0].quic.tls._peer_certificate.serial_number


@pytest.fixture
def renewal(helpers, certificates):
    return Renewal(helpers, certificates)


def test_new_flows_get_the_renewed_certificate_and_open_ones_go_on(renewal, certificates):
    former = renewal.serial_number()
    caller, network = renewal.connect()
    certificates.issue("agent", "host")
    assert renewal.serial_number() == former
    renewal.check_files()
    assert renewal.serial_number() != former
    stream = caller.request("GET", "/proof")
    events = []
    assert network.run(lambda: bool(events.extend(renewal.endpoint.take_events()) or events))
    assert stream in caller.responses and caller.terminated is None


@pytest.mark.parametrize("content", [b"", b"garbage", None], ids=["empty", "garbage", "other key"])
def test_files_that_do_not_fit_leave_the_former_pair_in_use(renewal, certificates, content):
    former = renewal.serial_number()
    key = renewal.files.private_key_file
    key.write_bytes((certificates.folder / "ca.key").read_bytes() if content is None else content)
    renewal.check_files()
    assert renewal.serial_number() == former
    key.unlink()
    renewal.check_files()
    assert renewal.serial_number() == former
    certificates.issue("agent", "host")
    renewal.check_files()
    assert renewal.serial_number() != former
