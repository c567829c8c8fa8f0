"""A reload signal (SIGHUP) does not end a process that is still starting.

A process handles the signal once its event loop runs, some 0.2 s after its start. Until then the
system's default would hold and end the process without a log line, as happened to a balancer that
was restarted while its settings changed repeatedly.
"""

import errno
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
WAIT_LIMIT_SECONDS = 30.0
START_FAILED = 1


def open_when_read(path):
    """Open a named pipe for writing once a reader has opened it."""
    deadline = time.monotonic() + WAIT_LIMIT_SECONDS
    while time.monotonic() < deadline:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            time.sleep(0.01)
    raise AssertionError("the settings were not read")


@pytest.mark.parametrize("script", ["platform/run.py", "deploy/start.py"])
@pytest.mark.parametrize("role", ["control", "balancer", "agent"])
def test_a_process_that_reads_its_settings_outlasts_a_reload_signal(tmp_path, script, role):
    settings = tmp_path / "settings.toml"
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, script, role],
        cwd=ROOT,
        env={"PATH": os.environ["PATH"], "JASPERWALK_NODE_FILE": str(settings)},
        stdout=subprocess.PIPE,
    )
    try:
        writer = open_when_read(settings)
        process.send_signal(signal.SIGHUP)
        os.write(writer, b"these are no settings")
        os.close(writer)
        output, _ = process.communicate(timeout=WAIT_LIMIT_SECONDS)
    finally:
        process.kill()
        process.wait()
    assert process.returncode == START_FAILED
    assert b"event=start-failed" in output
