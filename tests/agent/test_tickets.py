"""Tickets are checked, and each one runs its request at most once, on the sans-IO core."""

import pytest

from jasperwalk.agent.requests import Request
from jasperwalk.agent.tickets import (
    MAX_ANSWER_BYTES,
    InvalidTicket,
    StoredAnswer,
    Ticket,
    TicketCodec,
    TicketStore,
    request_digest,
)
from jasperwalk.config.table_entries import KeyEntry, KeyPurpose


def _key(secret, rotation=0, active=True):
    return KeyEntry(KeyPurpose.TICKET, rotation, secret * 32, active)


def _ticket(helpers, nonce=b"n" * 12, expires_at_ms=10_000):
    return Ticket(helpers.AGENT, 1, helpers.SERVICE_ID, expires_at_ms, nonce)


def test_a_sealed_ticket_opens_with_the_same_and_with_a_former_key(helpers):
    text = TicketCodec([_key(b"a")]).seal(_ticket(helpers))
    assert TicketCodec([_key(b"a")]).open(text) == _ticket(helpers)
    rotated = TicketCodec([_key(b"b", 1), _key(b"a", 0, active=False)])
    assert rotated.open(text) == _ticket(helpers)


@pytest.mark.parametrize(
    "damage",
    [
        lambda text: "",
        lambda text: "my-own-key",
        lambda text: "é" * 20,
        lambda text: text[:-2],
        lambda text: ("A" if text[0] != "A" else "B") + text[1:],
        lambda text: text[:30] + ("A" if text[30] != "A" else "B") + text[31:],
        lambda text: text * 20,
        lambda text: TicketCodec([_key(b"x")]).seal(TicketCodec([_key(b"a")]).open(text)),
    ],
)
def test_what_is_no_ticket_of_the_fleet_is_refused(helpers, damage):
    text = TicketCodec([_key(b"a")]).seal(_ticket(helpers))
    with pytest.raises(InvalidTicket):
        TicketCodec([_key(b"a")]).open(damage(text))


ONE, OTHER = b"digest of one", b"digest of another"
ANSWER = StoredAnswer(200, [("x", "y")], bytearray(b"done"))
USES = {
    "first use runs": ([("use", ONE, 0)], ["RunNow"]),
    "a resend waits for the first": (
        [("use", ONE, 0), ("use", ONE, 1)],
        ["RunNow", "WaitForFirst"],
    ),
    "a resend gets the stored answer": (
        [("use", ONE, 0), ("finish", ANSWER), ("use", ONE, 1), ("use", ONE, 2)],
        ["RunNow", "Repeat", "Repeat"],
    ),
    "an unknown outcome stays unknown": (
        [("use", ONE, 0), ("finish", None), ("use", ONE, 1)],
        ["RunNow", "OutcomeUnknown"],
    ),
    "an answer too long to keep is unknown, not run again": (
        [("use", ONE, 0), ("finish", StoredAnswer(200, [], truncated=True)), ("use", ONE, 1)],
        ["RunNow", "OutcomeUnknown"],
    ),
    "what did not run may run": (
        [("use", ONE, 0), ("did_not_run",), ("use", ONE, 1)],
        ["RunNow", "RunNow"],
    ),
    "another request under the ticket conflicts, running or not": (
        [("use", ONE, 0), ("use", OTHER, 1), ("finish", ANSWER), ("use", OTHER, 2)],
        ["RunNow", "Conflict", "Conflict"],
    ),
    "a ticket first seen after its expiry is not run": ([("use", ONE, 10)], ["Expired"]),
    "a stored answer outlives the expiry a while": (
        [("use", ONE, 0), ("finish", ANSWER), ("use", ONE, 69)],
        ["RunNow", "Repeat"],
    ),
    "a discarded use is expired, not run again": (
        [("use", ONE, 0), ("finish", ANSWER), ("use", ONE, 70)],
        ["RunNow", "Expired"],
    ),
    "a use that still runs is never discarded": (
        [("use", ONE, 0), ("use", ONE, 1_000)],
        ["RunNow", "WaitForFirst"],
    ),
}


@pytest.mark.parametrize("case", USES)
def test_uses_of_one_ticket(helpers, case):
    steps, expected = USES[case]
    store = TicketStore()
    ticket = _ticket(helpers)
    decisions = []
    for action, *arguments in steps:
        if action == "use":
            decisions.append(type(store.use(ticket, *arguments)).__name__)
        else:
            getattr(store, action)(ticket, *arguments)
    assert decisions == expected


def test_a_full_store_refuses_and_forgets_nothing(helpers):
    store = TicketStore(max_tickets=2)
    names = [
        type(store.use(_ticket(helpers, bytes([number]) * 12), ONE, 0.0)).__name__
        for number in (1, 2, 3, 1)
    ]
    assert names == ["RunNow", "RunNow", "StoreFull", "WaitForFirst"]
    store.finish(_ticket(helpers, b"\x01" * 12), ANSWER)
    later = _ticket(helpers, b"\x04" * 12, expires_at_ms=200_000)
    assert type(store.use(later, ONE, 100.0)).__name__ == "RunNow"
    assert len(store) == 2


def test_an_answer_is_kept_complete_or_not_at_all():
    answer = StoredAnswer(200, [])
    answer.append(b"x" * MAX_ANSWER_BYTES)
    assert not answer.truncated
    answer.append(b"x")
    assert answer.truncated
    assert not answer.body


@pytest.mark.parametrize("changed", ["method", "path", "body"])
def test_the_digest_binds_method_path_and_body(changed):
    fields = {"method": "POST", "path": "/submit", "body": b"names"}
    other = {**fields, changed: b"other" if changed == "body" else "OTHER"}
    assert _digest(**fields) != _digest(**other)


def test_the_digest_does_not_bind_what_a_resend_changes():
    fields = {"method": "POST", "path": "/submit", "body": b"names"}
    assert _digest(**fields, request_id="1") == _digest(**fields, request_id="2")


def _digest(method, path, body, request_id="1"):
    return request_digest(Request(request_id, method, path, "", [], body, 1000, False))
