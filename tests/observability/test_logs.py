import io
import logging

import pytest

from jasperwalk.observability.logs import configure_logging, get_logger


@pytest.fixture
def stream():
    stream = io.StringIO()
    configure_logging("balancer", "b1", "info", stream)
    return stream


def test_an_event_is_one_line_of_key_value_pairs(stream):
    get_logger().info("started", endpoint="127.0.0.1:6000", text="two words\nand lines", ok=True)
    (line,) = stream.getvalue().splitlines()
    timestamp, rest = line.split(" ", 1)
    assert timestamp.startswith("timestamp=")
    assert rest == (
        "level=info process=balancer name=b1 event=started "
        'endpoint=127.0.0.1:6000 text="two words\\nand lines" ok=true'
    )


def test_events_below_the_level_are_left_out(stream):
    get_logger().debug("detail")
    assert stream.getvalue() == ""


def test_an_exception_stays_on_one_line(stream):
    try:
        raise ValueError("first\nsecond")
    except ValueError:
        get_logger().exception("broke")
    (line,) = stream.getvalue().splitlines()
    assert "event=broke" in line
    assert "ValueError: first" in line


def test_warnings_of_libraries_come_in_the_same_form(stream):
    logging.getLogger("library.part").warning("odd %s", "thing")
    logging.getLogger("library.part").info("routine")
    (line,) = stream.getvalue().splitlines()
    assert "level=warning process=balancer name=b1 event=library-log" in line
    assert 'library=library.part message="odd thing"' in line
