"""Shared set-up of all tests: hypothesis draws the same examples in every run.

The certificates of a small cluster are created for each test that requests them.
"""

import datetime

import hypothesis
import pytest

from jasperwalk.transport.certificates import (
    issue_process_certificate,
    make_authority,
    tls_files_of,
    write_authority,
)
from jasperwalk.transport.file_monitor import POLL_SECONDS
from jasperwalk.transport.identity import Identity, ProcessRole
from jasperwalk.transport.tls import LinkTls

pytest_plugins = ["pytester"]

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, database=None, deadline=None, print_blob=True
)
hypothesis.settings.load_profile("repeatable")

DAY = datetime.timedelta(days=1)


class Certificates:
    """Issues certificates of the cluster `zagreb` into a folder."""

    HOUR = datetime.timedelta(hours=1)

    def __init__(self, folder):
        self.folder = folder
        self.now = 0.0
        self.use(make_authority("CA of zagreb"))

    def use(self, authority):
        self.authority = authority
        write_authority(authority, self.folder)

    def issue(self, role, name, lifetime=DAY, cluster_id="zagreb"):
        identity = Identity(cluster_id, ProcessRole(role), name)
        issue_process_certificate(self.authority, identity, self.folder, lifetime)
        return identity

    def tls(self, role, name, lifetime=DAY, cluster_id="zagreb"):
        identity = self.issue(role, name, lifetime, cluster_id)
        return LinkTls(tls_files_of(identity, self.folder), identity, clock=lambda: self.now)

    def advance_past_poll(self):
        self.now += POLL_SECONDS


@pytest.fixture
def certificates(tmp_path):
    return _make_certificates(tmp_path / "certificates")


@pytest.fixture
def other_cluster_certificates(tmp_path):
    """Certificates of another cluster of the same name, which has its own CA."""
    return _make_certificates(tmp_path / "others")


def _make_certificates(folder):
    folder.mkdir()
    return Certificates(folder)
