import ast

import pytest

from scripts.known_red import LIST_PATH, KnownRed, KnownRedListError, parse_list, read_list

ROOT = LIST_PATH.parent


def test_lines_become_entries():
    text = "# comment\n\ntests/a/test_b.py::test_c[x | y] | loses an entry | issue 4\n"
    assert parse_list(text) == [
        KnownRed("tests/a/test_b.py::test_c[x | y]", "loses an entry", "issue 4")
    ]


@pytest.mark.parametrize(
    "text",
    ["tests/a.py::test_b", "tests/a.py::test_b | cause", "tests/a.py::test_b |  | issue 4"],
    ids=["only a test", "no issue", "empty cause"],
)
def test_a_malformed_line_is_refused(text):
    with pytest.raises(KnownRedListError, match="expected"):
        parse_list(text)


def test_a_fourth_entry_is_refused():
    lines = [f"tests/a.py::test_{number} | cause | issue 4" for number in range(4)]
    assert len(parse_list("\n".join(lines[:3]))) == 3
    with pytest.raises(KnownRedListError, match="lists 4"):
        parse_list("\n".join(lines))


def test_only_exact_ids_are_deselected_and_printed(pytester, monkeypatch):
    pytester.makepyfile(
        test_sample="def test_red():\n    assert False\n\ndef test_red_not():\n    pass\n"
    )
    known_red = pytester.path / "KNOWN-RED.txt"
    known_red.write_text("test_sample.py::test_red | a cause | issue 4\n", encoding="utf-8")
    monkeypatch.setattr("scripts.known_red.LIST_PATH", known_red)
    result = pytester.runpytest_inprocess("-p", "scripts.known_red")
    result.assert_outcomes(passed=1, deselected=1)
    result.stdout.fnmatch_lines(["KNOWN RED, not run: test_sample.py::test_red - a cause - *"])


def test_every_listed_test_exists():
    for entry in read_list(LIST_PATH):
        file_name, _, test_name = entry.test.partition("::")
        tree = ast.parse((ROOT / file_name).read_text(encoding="utf-8"))
        functions = {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}
        assert test_name.split("::")[-1].partition("[")[0] in functions
