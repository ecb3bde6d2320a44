"""Tests of the decoders of untrusted bytes.

Valid messages survive a round trip, and any other bytes raise an error with a code.
"""

import json
import unittest
import zlib

import attrs
import cbor2
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock import defaults, messages, wire
from gooseberrydock.configuration import decode_configuration, encode_configuration
from gooseberrydock.errorcodes import PEER_PROTOCOL
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.gossip import (
    GossipKind,
    GossipMessage,
    MemberUpdate,
    decode_gossip,
    encode_gossip,
)
from gooseberrydock.members import Address, Member, MemberState, decode_member, encode_member
from gooseberrydock.outcomes import Outcome
from gooseberrydock.owner_register import decode_register
from gooseberrydock.start_ids import format_start_id
from gooseberrydock.target_client import parse_announcement

_NUMBERS = st.integers(0, 2**40)
_SHORT_TEXTS = st.text(max_size=12)
_HEADERS = st.lists(st.tuples(st.binary(max_size=8), st.binary(max_size=8)), max_size=3)
_FLOATS = st.floats(0, 1e9)
_CONTEXTS = st.builds(
    messages.CallContext,
    request_id=_SHORT_TEXTS,
    class_name=_SHORT_TEXTS,
    rank=_FLOATS,
    remaining_ms=_FLOATS,
    credit=_NUMBERS,
    charges_declared_calls=st.booleans(),
    idempotency_key=_SHORT_TEXTS,
    is_idempotent=st.booleans(),
    caller=_SHORT_TEXTS,
    path_index=st.integers(-1, 16),
    depth=_NUMBERS,
    is_suspect=st.booleans(),
    seal_code=_NUMBERS,
)
_CALLS = st.builds(
    messages.Call,
    call_id=_NUMBERS,
    service=_SHORT_TEXTS,
    operation=_SHORT_TEXTS,
    method=_SHORT_TEXTS,
    path=_SHORT_TEXTS,
    headers=_HEADERS,
    body=st.binary(max_size=30),
    context=_CONTEXTS,
)
_INSTANCE_IDS = st.from_regex(r"[!-.0-~]{1,9}", fullmatch=True)
_START_IDS = st.builds(format_start_id, _INSTANCE_IDS, st.integers(0, 2**50))
_ANSWERS = st.builds(
    messages.Answer,
    call_id=_NUMBERS,
    outcome=st.sampled_from(Outcome),
    code=_NUMBERS,
    status=st.integers(100, 599),
    headers=_HEADERS,
    body=st.binary(max_size=30),
    credit=_NUMBERS,
    load=st.builds(messages.LoadReport, in_flight=_NUMBERS, queued=_NUMBERS, limit=_NUMBERS),
    shed_thresholds=st.lists(
        st.builds(messages.ShedThresholdReport, service=_SHORT_TEXTS, threshold=_FLOATS)
    ).map(tuple),
    step=_SHORT_TEXTS,
    peer=_SHORT_TEXTS,
)
_OTHER_MESSAGES = st.one_of(
    st.builds(messages.Cancel, call_id=_NUMBERS),
    st.builds(
        messages.RoutedCall,
        call_id=_NUMBERS,
        route=_SHORT_TEXTS,
        service=_SHORT_TEXTS,
        caller_service=_SHORT_TEXTS,
        method=_SHORT_TEXTS,
        request_target=_SHORT_TEXTS,
        headers=_HEADERS,
        body=st.binary(max_size=9),
        remaining_ms=_FLOATS,
        priority=st.integers(0, 9),
        has_alternative=st.booleans(),
        body_bytes=_NUMBERS,
        body_hash=st.integers(0, 2**64 - 1),
        long_body=st.none(),
    ),
    st.builds(
        messages.BodyPart,
        call_id=_NUMBERS,
        of_answer=st.booleans(),
        data=st.binary(max_size=30),
    ),
    st.builds(messages.BodyCredit, call_id=_NUMBERS, of_answer=st.booleans(), size=_NUMBERS),
    st.builds(messages.KeepAlive, token=_NUMBERS, is_reply=st.booleans()),
    st.builds(messages.Leaving, node_id=_SHORT_TEXTS, incarnation=_NUMBERS),
    st.builds(
        messages.CrashNotice,
        suspects=st.lists(_NUMBERS).map(tuple),
        quarantined=st.lists(_NUMBERS).map(tuple),
    ),
    st.builds(
        messages.QuarantineNotice,
        remaining_ms=st.dictionaries(_NUMBERS, st.floats(0.0, 1e6), max_size=3),
    ),
    st.builds(
        messages.ShareNotice,
        admitted_shares=st.dictionaries(_SHORT_TEXTS, st.floats(0.0, 1.0), max_size=3),
        limit=_NUMBERS,
    ),
    st.builds(
        messages.RecordChanges,
        after=_NUMBERS,
        upto=_NUMBERS,
        changes=st.lists(
            st.builds(
                messages.RecordChange,
                node_id=_SHORT_TEXTS,
                value=st.binary(max_size=9),
                revision=_NUMBERS,
            )
        ).map(tuple),
    ),
    st.builds(
        messages.LoadNotice,
        in_flight=_NUMBERS,
        limit=_NUMBERS,
        run_ms_by_route=st.dictionaries(_SHORT_TEXTS, st.floats(0.0, 1e6), max_size=3),
    ),
    st.builds(
        messages.TargetNotice,
        start_id=_START_IDS,
        rate_limit=st.floats(0.0, 1e6),
        is_leaving=st.booleans(),
        leaving_for_ms=st.floats(0.0, 1e6),
    ),
    st.builds(messages.LeavingNotice, start_id=_START_IDS, leaving_for_ms=st.floats(0.0, 1e6)),
    st.builds(messages.LeavingReceipt, start_id=_START_IDS),
    st.builds(
        messages.StoreStatus,
        version=_NUMBERS,
        sent_at=_FLOATS,
        read_id=_NUMBERS,
        read_age_ms=_FLOATS,
        watch_age_ms=_FLOATS,
    ),
    st.builds(messages.ConfigurationPush, generation=_NUMBERS, payload=st.binary(max_size=9)),
    st.builds(messages.MemberSyncRequest, digests=st.lists(_NUMBERS).map(tuple)),
)
_CBOR_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=20) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=20,
)
_MEMBER = Member(
    "n", 3, 2, MemberState.ALIVE, Address("::1", 1), Address("::1", 2), "r", "d", "s", 4
)
_KEY = b"a shared key of the cluster"


class WireTest(unittest.TestCase):
    """Encoding and decoding of messages between nodes."""

    @given(st.one_of(_CALLS, _ANSWERS, _OTHER_MESSAGES))
    def test_round_trip(self, message: messages.PeerMessage) -> None:
        self.assertEqual(wire.decode(wire.encode(message), "p"), message)

    @given(_ANSWERS, st.integers().filter(lambda status: not 0 <= status <= 599))
    def test_answer_with_a_status_out_of_range_is_refused(
        self, answer: messages.Answer, status: int
    ) -> None:
        data = wire.encode(attrs.evolve(answer, status=status))
        with self.assertRaises(GooseberrydockError):
            wire.decode(data, "p")

    def test_notice_of_a_start_without_a_start_time_is_refused(self) -> None:
        for start_id in ("", "a", "@", "@9", "a@", "a@x", "a@-1", "a@9 ", "a@" + "9" * 30):
            array = [wire.TAG_LEAVING_NOTICE, start_id, 0.0]
            with self.subTest(start_id), self.assertRaises(GooseberrydockError) as raised:
                wire.decode(cbor2.dumps(array), "n1")
            self.assertIs(PEER_PROTOCOL, raised.exception.code)

    def test_start_whose_id_cannot_be_written_into_a_request_is_refused(self) -> None:
        # Guards against an ID of another writer that ends every call to a target, or its head.
        for start_id in ("\N{EURO SIGN}@9", "\N{REPLACEMENT CHARACTER}@9", "a\r\nb@9", "a/b@9"):
            for array in (
                [wire.TAG_LEAVING_NOTICE, start_id, 0.0],
                [wire.TAG_LEAVING_RECEIPT, start_id],
                [wire.TAG_TARGET_NOTICE, start_id, 0.0, True, 0.0],
            ):
                with self.subTest(array=array), self.assertRaises(GooseberrydockError) as raised:
                    wire.decode(cbor2.dumps(array), "n1")
                self.assertIs(PEER_PROTOCOL, raised.exception.code)
            report = messages.TargetReport(1, 10, 20.0, 1.0, is_leaving=True, start_id=start_id)
            answer = messages.RoutedAnswer(
                1, messages.RunResult.ANSWERED, 0, 200, [], b"", True, report
            )
            with self.subTest(answer=start_id), self.assertRaises(GooseberrydockError):
                wire.decode(wire.encode(answer), "n1")

    def test_nesting_and_numbers_without_end_raise_a_coded_error(self) -> None:
        # Guards against a stored value that ends the process that reads it.
        nested = b"[" * 60_000
        infinite = (
            b'{"version": Infinity, "epochs": [[1, 1, [["n", 1]]]], '
            b'"pending": null, "pending_since": 0}'
        )
        for data in (nested, infinite, zlib.compress(nested)):
            for decode in (
                lambda value: decode_register(value, "store"),
                decode_configuration,
                parse_announcement,
            ):
                with self.subTest(data[:9]), self.assertRaises(GooseberrydockError):
                    decode(data)

    def test_announcement_of_a_service_that_cannot_be_sent_to_nodes_is_refused(self) -> None:
        # Guards against a name that ends the process when its member record is encoded.
        fields = {"service": "\ud800", "slots": 3, "address": "127.0.0.1:1"}
        with self.assertRaises(GooseberrydockError):
            parse_announcement(json.dumps(fields).encode())

    @given(st.one_of(st.binary(max_size=60), _CBOR_VALUES.map(cbor2.dumps)))
    def test_arbitrary_bytes_raise_a_coded_error(self, data: bytes) -> None:
        for decode in (
            lambda: wire.decode(data, "p"),
            lambda: decode_gossip(data, b"", "p"),
            lambda: decode_member(data),
            lambda: decode_configuration(data),
            lambda: decode_register(data, "store"),
            lambda: parse_announcement(data),
        ):
            with self.assertRaises(GooseberrydockError):
                decode()

    @given(_CALLS, st.integers(1, 20), _CBOR_VALUES)
    def test_call_with_one_replaced_field_is_refused_or_survives_a_round_trip(
        self, call: messages.Call, index: int, value: object
    ) -> None:
        array = cbor2.loads(wire.encode(call))
        array[index] = value
        try:
            decoded = wire.decode(cbor2.dumps(array), "p")
        except GooseberrydockError:
            return
        self.assertEqual(wire.decode(wire.encode(decoded), "p"), decoded)

    @given(_CALLS, st.data())
    def test_truncated_bytes_raise_a_coded_error(
        self, call: messages.Call, data: st.DataObject
    ) -> None:
        encoded = wire.encode(call)
        length = data.draw(st.integers(0, len(encoded) - 1))
        with self.assertRaises(GooseberrydockError):
            wire.decode(encoded[:length], "p")


class GossipTest(unittest.TestCase):
    """Encoding and decoding of gossip datagrams."""

    def test_datagram_with_names_of_any_script_stays_below_the_limit(self) -> None:
        update = MemberUpdate(_MEMBER, "\N{OLD PERSIAN SIGN A}" * 30)
        gossip = GossipMessage(GossipKind.PING, 1, "ñ" * 40, "ñ" * 40, 7, (update,) * 50)
        self.assertLessEqual(len(encode_gossip(gossip, _KEY)), defaults.MAX_DATAGRAM_BYTES)

    def test_announcement_with_a_text_for_cold_is_refused(self) -> None:
        fields = {"service": "s", "slots": 3, "address": "127.0.0.1:1"}
        self.assertTrue(parse_announcement(json.dumps({**fields, "cold": True}).encode()).is_cold)
        with self.assertRaises(GooseberrydockError):
            parse_announcement(json.dumps({**fields, "cold": "false"}).encode())

    def test_round_trip_and_authentication(self) -> None:
        gossip = GossipMessage(GossipKind.PING, 1, "a", "b", 7, (MemberUpdate(_MEMBER, "c"),))
        data = encode_gossip(gossip, _KEY)
        self.assertEqual(decode_gossip(data, _KEY, ""), gossip)
        for invalid_data in (data[:-1], b"x" + data[1:], data + b"x", encode_gossip(gossip, b"")):
            with self.subTest(invalid_data=invalid_data), self.assertRaises(GooseberrydockError):
                decode_gossip(invalid_data, _KEY, "")

    def test_datagram_stays_within_its_limit(self) -> None:
        updates = tuple(MemberUpdate(_MEMBER, "c") for _ in range(200))
        data = encode_gossip(GossipMessage(GossipKind.ACK, 1, "a", "b", 7, updates), _KEY)
        self.assertLessEqual(len(data), 1_400)
        self.assertGreater(len(decode_gossip(data, _KEY, "").updates), 5)

    def test_member_round_trip(self) -> None:
        self.assertEqual(decode_member(encode_member(_MEMBER)), _MEMBER)


class ConfigurationPayloadTest(unittest.TestCase):
    """Encoding and decoding of the stored configuration."""

    def test_decompression_bomb_is_refused(self) -> None:
        with self.assertRaises(GooseberrydockError):
            decode_configuration(zlib.compress(b" " * 50_000_000))

    def test_empty_configuration_round_trip(self) -> None:
        from gooseberrydock.configuration import empty_configuration

        empty = empty_configuration()
        self.assertEqual(decode_configuration(encode_configuration(empty)), empty)
