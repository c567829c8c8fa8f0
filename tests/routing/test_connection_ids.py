import pytest
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from hypothesis import given
from hypothesis import strategies as st

from jasperwalk.addresses import Endpoint
from jasperwalk.config.table_entries import KeyEntry, KeyPurpose
from jasperwalk.routing.connection_ids import (
    CONNECTION_ID_LENGTH,
    ConnectionIdCodec,
    NoActiveConnectionIdKey,
    RoutableId,
    UnencodableConnectionId,
    UnusableConnectionIdKey,
)

SECRET = bytes.fromhex("8f95f09245765f80256934e50c66207f")
ROUTABLE = RoutableId(Endpoint("10.1.2.3", 4433), service_id=0x0A0B0C, incarnation=0x0102)
NONCE = bytes.fromhex("aabbccddee")


def make_key(rotation=2, secret=SECRET, active=True, purpose=KeyPurpose.CONNECTION_ID):
    return KeyEntry(purpose, rotation, secret, active)


CODEC = ConnectionIdCodec([make_key()])
CONNECTION_ID = CODEC.encode(ROUTABLE, NONCE)


def test_layout_matches_an_independent_encryption():
    plain = bytes.fromhex("0a01020311510a0b0c0102aabbccddee")
    encryptor = Cipher(algorithms.AES(SECRET), modes.ECB()).encryptor()
    assert bytes([0b010_10000]) + encryptor.update(plain) + encryptor.finalize() == CONNECTION_ID
    assert len(CONNECTION_ID) == CONNECTION_ID_LENGTH == 17


def test_a_published_aes_vector():
    # AES-128-ECB vector of FIPS 197, appendix B: pins the cipher and the order of the bytes.
    key = make_key(secret=bytes.fromhex("2b7e151628aed2a6abf7158809cf4f3c"))
    plain = bytes.fromhex("3243f6a8885a308d313198a2e0370734")
    routable = RoutableId(Endpoint("50.67.246.168", 0x885A), 0x308D31, 0x3198)
    connection_id = ConnectionIdCodec([key]).encode(routable, plain[11:])
    assert connection_id[1:].hex() == "3925841d02dc09fbdc118597196a0b32"


@given(
    st.integers(0, 2**32 - 1),
    st.integers(1, 2**16 - 1),
    st.integers(1, 2**24 - 1),
    st.integers(1, 2**16 - 1),
    st.binary(min_size=5, max_size=5),
    st.integers(0, 6),
)
def test_round_trip(host, port, service_id, incarnation, nonce, rotation):
    address = Endpoint.unpack(host.to_bytes(4, "big") + port.to_bytes(2, "big"))
    routable = RoutableId(address, service_id, incarnation)
    codec = ConnectionIdCodec([make_key(rotation=rotation)])
    assert codec.decode(codec.encode(routable, nonce)) == routable


@pytest.mark.parametrize(
    "keys",
    [[], [make_key(rotation=3)], [make_key(purpose=KeyPurpose.TICKET)]],
    ids=["no key", "another rotation", "another purpose"],
)
def test_without_its_key_nothing_decodes(keys):
    assert ConnectionIdCodec(keys).decode(CONNECTION_ID) is None


def test_a_wrong_key_does_not_yield_the_routable_id():
    assert ConnectionIdCodec([make_key(secret=bytes(16))]).decode(CONNECTION_ID) != ROUTABLE


def test_old_rotations_decode_while_the_active_one_encodes():
    codec = ConnectionIdCodec([make_key(active=False), make_key(rotation=5, secret=bytes(16))])
    assert codec.decode(CONNECTION_ID) == ROUTABLE
    assert codec.encode(ROUTABLE, NONCE)[0] >> 5 == 5


@pytest.mark.parametrize("index", range(1, CONNECTION_ID_LENGTH))
@pytest.mark.parametrize("bit", [0x01, 0x80])
def test_a_changed_bit_never_yields_the_service(index, bit):
    forged = bytearray(CONNECTION_ID)
    forged[index] ^= bit
    decoded = CODEC.decode(bytes(forged))
    assert decoded is None or decoded.service_id != ROUTABLE.service_id


@pytest.mark.parametrize(
    "connection_id",
    [
        b"",
        CONNECTION_ID[:-1],
        CONNECTION_ID + b"\x00",
        bytes([0xFF]) + CONNECTION_ID[1:],
        bytes([CONNECTION_ID[0] ^ 1]) + CONNECTION_ID[1:],
    ],
    ids=["empty", "short", "long", "unroutable rotation", "wrong length bits"],
)
def test_other_shapes_do_not_decode(connection_id):
    assert CODEC.decode(connection_id) is None


@pytest.mark.parametrize("zeroed", [slice(4, 6), slice(6, 9), slice(9, 11)])
def test_unused_zero_fields_do_not_decode(zeroed):
    plain = bytearray(bytes.fromhex("0a0102031151") + bytes.fromhex("0a0b0c0102") + NONCE)
    plain[zeroed] = bytes(zeroed.stop - zeroed.start)
    encryptor = Cipher(algorithms.AES(SECRET), modes.ECB()).encryptor()
    assert CODEC.decode(CONNECTION_ID[:1] + encryptor.update(bytes(plain))) is None


@pytest.mark.parametrize(
    ("routable", "nonce", "field"),
    [
        (RoutableId(Endpoint("1.2.3.4", 0), 1, 1), NONCE, "port"),
        (RoutableId(Endpoint("1.2.3.4", 1), 2**24, 1), NONCE, "service_id"),
        (RoutableId(Endpoint("1.2.3.4", 1), 1, 2**16), NONCE, "incarnation"),
        (ROUTABLE, NONCE[:4], "nonce length"),
    ],
)
def test_what_does_not_fit_is_refused(routable, nonce, field):
    with pytest.raises(UnencodableConnectionId) as raised:
        CODEC.encode(routable, nonce)
    assert raised.value.field == field


def test_keys_are_checked():
    with pytest.raises(NoActiveConnectionIdKey):
        ConnectionIdCodec([make_key(active=False)]).encode(ROUTABLE, NONCE)
    for key in (make_key(secret=bytes(15)), make_key(rotation=7)):
        with pytest.raises(UnusableConnectionIdKey):
            ConnectionIdCodec([key])
