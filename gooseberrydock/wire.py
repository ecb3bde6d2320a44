"""Encoding and decoding of the messages between nodes as CBOR arrays.

Each message is an array of a tag and the message's fields in their declared order. Decoding
checks the number and the types of all fields, so that the rest of the node need not check them
again.
"""

import math
from collections.abc import Callable
from functools import singledispatch
from typing import Any, Final

import cbor2

from gooseberrydock import messages
from gooseberrydock.errorcodes import PEER_PROTOCOL
from gooseberrydock.errors import GooseberrydockError, Step
from gooseberrydock.http_messages import Headers
from gooseberrydock.messages import PeerMessage
from gooseberrydock.outcomes import Outcome
from gooseberrydock.start_ids import parse_start_id

TAG_CALL: Final = 1
TAG_ANSWER: Final = 2
TAG_CANCEL: Final = 3
TAG_HELLO: Final = 4
TAG_LEAVING: Final = 5
TAG_CONFIGURATION_REQUEST: Final = 6
TAG_CONFIGURATION_PUSH: Final = 7
TAG_MEMBER_SYNC_REQUEST: Final = 8
TAG_MEMBER_SYNC: Final = 9
TAG_KEEP_ALIVE: Final = 10
TAG_OWNER_HEARTBEAT: Final = 11
TAG_OWNER_REGISTER: Final = 12
TAG_CRASH_NOTICE: Final = 13
TAG_ROUTED_CALL: Final = 14
TAG_ROUTED_ANSWER: Final = 15
TAG_SHARE_NOTICE: Final = 16
TAG_RECORD_CHANGES: Final = 17
TAG_LOAD_NOTICE: Final = 18
TAG_TARGET_NOTICE: Final = 19
TAG_STORE_STATUS: Final = 20
TAG_LEAVING_NOTICE: Final = 21
TAG_LEAVING_RECEIPT: Final = 22
TAG_BODY_PART: Final = 23
TAG_BODY_CREDIT: Final = 24
TAG_QUARANTINE_NOTICE: Final = 25


_MAX_STATUS: Final = 599
_MAX_HASH: Final = 2**64 - 1


class _FieldError(ValueError):
    """Field of a message with the wrong type or an invalid value."""


def encode(message: PeerMessage) -> bytes:
    """Encode a message."""
    return cbor2.dumps(_to_array(message))


def decode(data: bytes, peer: str) -> PeerMessage:
    """Decode a message, raising ``PEER_PROTOCOL`` if it is not valid."""
    try:
        array = cbor2.loads(data)
    except Exception as error:
        # The bytes are untrusted, and cbor2 does not document all exceptions that it may raise.
        raise _protocol_error(peer, f"not CBOR: {error}") from error
    if type(array) is not list or not array or type(array[0]) is not int:
        raise _protocol_error(peer, "not an array that starts with an integer tag")
    decoder = _DECODERS.get(array[0])
    if decoder is None:
        raise _protocol_error(peer, f"unknown tag {array[0]}")
    try:
        return decoder(array)
    except _FieldError as error:
        raise _protocol_error(peer, f"tag {array[0]}: {error}") from error


def _protocol_error(peer: str, detail: str) -> GooseberrydockError:
    return GooseberrydockError(PEER_PROTOCOL, Step.PEER_LINK, peer, detail)


@singledispatch
def _to_array(message: Any) -> list[Any]:
    raise TypeError(f"not a peer message: {type(message).__name__}")


@_to_array.register
def _call_to_array(message: messages.Call) -> list[Any]:
    context = message.context
    return [
        TAG_CALL,
        message.call_id,
        message.service,
        message.operation,
        message.method,
        message.path,
        message.headers,
        message.body,
        context.request_id,
        context.class_name,
        context.rank,
        context.remaining_ms,
        context.credit,
        context.charges_declared_calls,
        context.idempotency_key,
        context.is_idempotent,
        context.caller,
        context.path_index,
        context.depth,
        context.is_suspect,
        context.seal_code,
    ]


@_to_array.register
def _answer_to_array(message: messages.Answer) -> list[Any]:
    load = message.load
    return [
        TAG_ANSWER,
        message.call_id,
        int(message.outcome),
        message.code,
        message.status,
        message.headers,
        message.body,
        message.credit,
        load.in_flight,
        load.queued,
        load.limit,
        [[report.service, report.threshold] for report in message.shed_thresholds],
        message.step,
        message.peer,
    ]


@_to_array.register
def _cancel_to_array(message: messages.Cancel) -> list[Any]:
    return [TAG_CANCEL, message.call_id]


@_to_array.register
def _hello_to_array(message: messages.Hello) -> list[Any]:
    return [TAG_HELLO, message.node_id, message.incarnation, message.nonce, message.proof]


@_to_array.register
def _leaving_to_array(message: messages.Leaving) -> list[Any]:
    return [TAG_LEAVING, message.node_id, message.incarnation]


@_to_array.register
def _configuration_request_to_array(message: messages.ConfigurationRequest) -> list[Any]:
    return [TAG_CONFIGURATION_REQUEST, message.generation]


@_to_array.register
def _store_status_to_array(message: messages.StoreStatus) -> list[Any]:
    return [
        TAG_STORE_STATUS,
        message.version,
        message.sent_at,
        message.read_id,
        message.read_age_ms,
        message.watch_age_ms,
    ]


@_to_array.register
def _configuration_push_to_array(message: messages.ConfigurationPush) -> list[Any]:
    return [TAG_CONFIGURATION_PUSH, message.generation, message.payload]


@_to_array.register
def _member_sync_request_to_array(message: messages.MemberSyncRequest) -> list[Any]:
    return [TAG_MEMBER_SYNC_REQUEST, list(message.digests)]


@_to_array.register
def _member_sync_to_array(message: messages.MemberSync) -> list[Any]:
    return [TAG_MEMBER_SYNC, list(message.members), list(message.requested_buckets)]


@_to_array.register
def _keep_alive_to_array(message: messages.KeepAlive) -> list[Any]:
    return [TAG_KEEP_ALIVE, message.token, message.is_reply]


@_to_array.register
def _crash_notice_to_array(message: messages.CrashNotice) -> list[Any]:
    return [TAG_CRASH_NOTICE, list(message.suspects), list(message.quarantined)]


@_to_array.register
def _quarantine_notice_to_array(message: messages.QuarantineNotice) -> list[Any]:
    return [TAG_QUARANTINE_NOTICE, message.remaining_ms]


@_to_array.register
def _share_notice_to_array(message: messages.ShareNotice) -> list[Any]:
    return [TAG_SHARE_NOTICE, message.admitted_shares, message.limit]


@_to_array.register
def _record_changes_to_array(message: messages.RecordChanges) -> list[Any]:
    changes = [[item.node_id, item.value, item.revision] for item in message.changes]
    return [TAG_RECORD_CHANGES, message.era, message.after, message.upto, changes]


@_to_array.register
def _load_notice_to_array(message: messages.LoadNotice) -> list[Any]:
    return [
        TAG_LOAD_NOTICE,
        message.in_flight,
        message.limit,
        message.run_ms_by_route,
        message.rate_limit,
        message.rate_used,
    ]


@_to_array.register
def _target_notice_to_array(message: messages.TargetNotice) -> list[Any]:
    return [
        TAG_TARGET_NOTICE,
        message.start_id,
        message.rate_limit,
        message.is_leaving,
        message.leaving_for_ms,
    ]


@_to_array.register
def _leaving_notice_to_array(message: messages.LeavingNotice) -> list[Any]:
    return [TAG_LEAVING_NOTICE, message.start_id, message.leaving_for_ms]


@_to_array.register
def _leaving_receipt_to_array(message: messages.LeavingReceipt) -> list[Any]:
    return [TAG_LEAVING_RECEIPT, message.start_id]


@_to_array.register
def _owner_heartbeat_to_array(message: messages.OwnerHeartbeat) -> list[Any]:
    return [
        TAG_OWNER_HEARTBEAT,
        message.incarnation,
        message.token,
        message.echoed_token,
        message.version,
        message.confirms_epoch,
    ]


@_to_array.register
def _owner_register_to_array(message: messages.OwnerRegister) -> list[Any]:
    return [TAG_OWNER_REGISTER, message.payload]


@_to_array.register
def _routed_call_to_array(message: messages.RoutedCall) -> list[Any]:
    return [
        TAG_ROUTED_CALL,
        message.call_id,
        message.route,
        message.service,
        message.caller_service,
        message.method,
        message.request_target,
        message.headers,
        message.body,
        message.remaining_ms,
        message.priority,
        message.has_alternative,
        message.body_bytes,
        message.body_hash,
    ]


@_to_array.register
def _routed_answer_to_array(message: messages.RoutedAnswer) -> list[Any]:
    report = message.report
    return [
        TAG_ROUTED_ANSWER,
        message.call_id,
        int(message.result),
        message.code,
        message.status,
        message.headers,
        message.body,
        message.was_sent_to_target,
        report.in_flight,
        report.limit,
        report.mean_run_ms,
        report.admitted_share,
        report.is_nested,
        report.makes_calls,
        report.rate_limit,
        report.rate_used,
        report.is_leaving,
        report.start_id,
        message.body_bytes,
    ]


@_to_array.register
def _body_part_to_array(message: messages.BodyPart) -> list[Any]:
    return [TAG_BODY_PART, message.call_id, message.of_answer, message.data]


@_to_array.register
def _body_credit_to_array(message: messages.BodyCredit) -> list[Any]:
    return [TAG_BODY_CREDIT, message.call_id, message.of_answer, message.size]


def _check_field_types(array: list[Any], field_types: tuple[type, ...]) -> None:
    """Check that the fields after the tag have exactly the given types."""
    if len(array) != len(field_types) + 1:
        raise _FieldError(f"{len(array) - 1} fields instead of {len(field_types)}")
    for position, expected_type in enumerate(field_types, start=1):
        if type(array[position]) is not expected_type:
            raise _FieldError(f"field {position} is not of type {expected_type.__name__}")


def _check_finite_not_negative(*values: float) -> None:
    for value in values:
        if not math.isfinite(value) or value < 0:
            raise _FieldError("a number is negative or not finite")


def _to_headers(value: list[Any]) -> Headers:
    headers: Headers = []
    for pair in value:
        if type(pair) not in (list, tuple) or len(pair) != 2:
            raise _FieldError("a header is not a pair of name and value")
        name, text = pair
        if type(name) is not bytes or type(text) is not bytes:
            raise _FieldError("a header's name or value is not bytes")
        headers.append((name, text))
    return headers


_CALL_FIELD_TYPES: Final = (
    int,
    str,
    str,
    str,
    str,
    list,
    bytes,
    str,
    str,
    float,
    float,
    int,
    bool,
    str,
    bool,
    str,
    int,
    int,
    bool,
    int,
)


def _to_call(array: list[Any]) -> messages.Call:
    _check_field_types(array, _CALL_FIELD_TYPES)
    # The call id, rank, remaining time, credit and depth.
    _check_finite_not_negative(array[1], array[10], array[11], array[12], array[18])
    context = messages.CallContext(*array[8:21])
    return messages.Call(
        array[1],
        array[2],
        array[3],
        array[4],
        array[5],
        _to_headers(array[6]),
        array[7],
        context,
    )


_ANSWER_FIELD_TYPES: Final = (int, int, int, int, list, bytes, int, int, int, int, list, str, str)


def _to_answer(array: list[Any]) -> messages.Answer:
    _check_field_types(array, _ANSWER_FIELD_TYPES)
    # The call id, the credit and the load report.
    _check_finite_not_negative(array[1], array[7], array[8], array[9], array[10])
    try:
        outcome = Outcome(array[2])
    except ValueError as error:
        raise _FieldError("field 2 is not a valid outcome") from error
    _check_status(array[4])
    return messages.Answer(
        call_id=array[1],
        outcome=outcome,
        code=array[3],
        status=array[4],
        headers=_to_headers(array[5]),
        body=array[6],
        credit=array[7],
        load=messages.LoadReport(array[8], array[9], array[10]),
        shed_thresholds=tuple(_to_shed_threshold_report(entry) for entry in array[11]),
        step=array[12],
        peer=array[13],
    )


def _to_shed_threshold_report(entry: Any) -> messages.ShedThresholdReport:
    if type(entry) is not list or len(entry) != 2:
        raise _FieldError("a shed threshold report is not a pair of service and threshold")
    service, threshold = entry
    if type(service) is not str or type(threshold) is not float:
        raise _FieldError("the service or threshold of a shed threshold report has the wrong type")
    _check_finite_not_negative(threshold)
    return messages.ShedThresholdReport(service, threshold)


def _to_cancel(array: list[Any]) -> messages.Cancel:
    _check_field_types(array, (int,))
    return messages.Cancel(array[1])


def _to_hello(array: list[Any]) -> messages.Hello:
    _check_field_types(array, (str, int, bytes, bytes))
    return messages.Hello(*array[1:])


def _to_leaving(array: list[Any]) -> messages.Leaving:
    _check_field_types(array, (str, int))
    return messages.Leaving(*array[1:])


def _to_configuration_request(array: list[Any]) -> messages.ConfigurationRequest:
    _check_field_types(array, (int,))
    return messages.ConfigurationRequest(array[1])


def _to_store_status(array: list[Any]) -> messages.StoreStatus:
    _check_field_types(array, (int, float, int, float, float))
    _check_finite_not_negative(*array[1:])
    return messages.StoreStatus(*array[1:])


def _to_configuration_push(array: list[Any]) -> messages.ConfigurationPush:
    _check_field_types(array, (int, bytes))
    return messages.ConfigurationPush(*array[1:])


def _to_member_sync_request(array: list[Any]) -> messages.MemberSyncRequest:
    _check_field_types(array, (list,))
    return messages.MemberSyncRequest(_to_typed_tuple(int, array[1]))


def _to_member_sync(array: list[Any]) -> messages.MemberSync:
    _check_field_types(array, (list, list))
    return messages.MemberSync(_to_typed_tuple(bytes, array[1]), _to_typed_tuple(int, array[2]))


def _to_keep_alive(array: list[Any]) -> messages.KeepAlive:
    _check_field_types(array, (int, bool))
    return messages.KeepAlive(*array[1:])


def _to_crash_notice(array: list[Any]) -> messages.CrashNotice:
    _check_field_types(array, (list, list))
    return messages.CrashNotice(_to_typed_tuple(int, array[1]), _to_typed_tuple(int, array[2]))


def _to_quarantine_notice(array: list[Any]) -> messages.QuarantineNotice:
    _check_field_types(array, (dict,))
    _to_typed_tuple(int, list(array[1]))
    _check_finite_not_negative(*_to_typed_tuple(float, list(array[1].values())))
    return messages.QuarantineNotice(array[1])


def _to_share_notice(array: list[Any]) -> messages.ShareNotice:
    _check_field_types(array, (dict, int))
    _check_route_values(array[1])
    _check_finite_not_negative(array[2])
    return messages.ShareNotice(array[1], array[2])


def _to_load_notice(array: list[Any]) -> messages.LoadNotice:
    _check_field_types(array, (int, int, dict, float, float))
    _check_finite_not_negative(array[1], array[2], array[4], array[5])
    _check_route_values(array[3])
    return messages.LoadNotice(*array[1:])


def _to_target_notice(array: list[Any]) -> messages.TargetNotice:
    _check_field_types(array, (str, float, bool, float))
    _check_start_id(array[1])
    _check_finite_not_negative(array[2], array[4])
    return messages.TargetNotice(*array[1:])


def _to_leaving_notice(array: list[Any]) -> messages.LeavingNotice:
    _check_field_types(array, (str, float))
    _check_start_id(array[1])
    _check_finite_not_negative(array[2])
    return messages.LeavingNotice(*array[1:])


def _to_leaving_receipt(array: list[Any]) -> messages.LeavingReceipt:
    _check_field_types(array, (str,))
    _check_start_id(array[1])
    return messages.LeavingReceipt(*array[1:])


def _check_start_id(start_id: str) -> None:
    try:
        parse_start_id(start_id)
    except ValueError as error:
        raise _FieldError(str(error)) from error


def _check_route_values(values: dict[Any, Any]) -> None:
    if any(type(route) is not str or type(value) is not float for route, value in values.items()):
        raise _FieldError("the values do not map route names to floats")
    _check_finite_not_negative(*values.values())


def _to_record_changes(array: list[Any]) -> messages.RecordChanges:
    _check_field_types(array, (int, int, int, list))
    return messages.RecordChanges(
        array[1], array[2], array[3], tuple(_to_record_change(item) for item in array[4])
    )


def _to_record_change(item: Any) -> messages.RecordChange:
    if type(item) is not list or [type(value) for value in item] != [str, bytes, int]:
        raise _FieldError("a change of a record is not an id, a value and a revision")
    return messages.RecordChange(*item)


def _to_owner_heartbeat(array: list[Any]) -> messages.OwnerHeartbeat:
    _check_field_types(array, (int, int, int, int, bool))
    return messages.OwnerHeartbeat(*array[1:])


def _to_owner_register(array: list[Any]) -> messages.OwnerRegister:
    _check_field_types(array, (bytes,))
    return messages.OwnerRegister(*array[1:])


_ROUTED_CALL_FIELD_TYPES: Final = (
    int,
    str,
    str,
    str,
    str,
    str,
    list,
    bytes,
    float,
    int,
    bool,
    int,
    int,
)


def _to_routed_call(array: list[Any]) -> messages.RoutedCall:
    _check_field_types(array, _ROUTED_CALL_FIELD_TYPES)
    # The call id, remaining time, priority and size of a long body.
    _check_finite_not_negative(array[1], array[9], array[10], array[12])
    if not 0 <= array[13] <= _MAX_HASH:
        raise _FieldError(f"{array[13]} is not a hash")
    array[7] = _to_headers(array[7])
    return messages.RoutedCall(*array[1:])


_ROUTED_ANSWER_FIELD_TYPES: Final = (
    int,
    int,
    int,
    int,
    list,
    bytes,
    bool,
    int,
    int,
    float,
    float,
    bool,
    bool,
    float,
    float,
    bool,
    str,
    int,
)


def _to_routed_answer(array: list[Any]) -> messages.RoutedAnswer:
    _check_field_types(array, _ROUTED_ANSWER_FIELD_TYPES)
    # The call id, requests in flight, limit, mean run time, admitted share, rate limit and size.
    _check_finite_not_negative(array[1], *array[8:12], *array[14:16], array[18])
    try:
        result = messages.RunResult(array[2])
    except ValueError as error:
        raise _FieldError("field 2 is not a valid run result") from error
    _check_status(array[4])
    report = messages.TargetReport(*array[8:18])
    if report.start_id:
        _check_start_id(report.start_id)
    headers = _to_headers(array[5])
    return messages.RoutedAnswer(
        array[1], result, array[3], array[4], headers, array[6], array[7], report, array[18]
    )


def _to_body_part(array: list[Any]) -> messages.BodyPart:
    _check_field_types(array, (int, bool, bytes))
    _check_finite_not_negative(array[1])
    return messages.BodyPart(*array[1:])


def _to_body_credit(array: list[Any]) -> messages.BodyCredit:
    _check_field_types(array, (int, bool, int))
    _check_finite_not_negative(array[1], array[3])
    return messages.BodyCredit(*array[1:])


def _check_status(status: int) -> None:
    if not 0 <= status <= _MAX_STATUS:
        raise _FieldError(f"{status} is not an HTTP status")


def _to_typed_tuple(expected_type: type, values: list[Any]) -> tuple[Any, ...]:
    if any(type(value) is not expected_type for value in values):
        raise _FieldError(f"a list contains an item that is not of type {expected_type.__name__}")
    return tuple(values)


_DECODERS: Final[dict[int, Callable[[list[Any]], PeerMessage]]] = {
    TAG_CALL: _to_call,
    TAG_ANSWER: _to_answer,
    TAG_CANCEL: _to_cancel,
    TAG_HELLO: _to_hello,
    TAG_LEAVING: _to_leaving,
    TAG_CONFIGURATION_REQUEST: _to_configuration_request,
    TAG_CONFIGURATION_PUSH: _to_configuration_push,
    TAG_MEMBER_SYNC_REQUEST: _to_member_sync_request,
    TAG_MEMBER_SYNC: _to_member_sync,
    TAG_KEEP_ALIVE: _to_keep_alive,
    TAG_CRASH_NOTICE: _to_crash_notice,
    TAG_QUARANTINE_NOTICE: _to_quarantine_notice,
    TAG_OWNER_HEARTBEAT: _to_owner_heartbeat,
    TAG_OWNER_REGISTER: _to_owner_register,
    TAG_ROUTED_CALL: _to_routed_call,
    TAG_ROUTED_ANSWER: _to_routed_answer,
    TAG_SHARE_NOTICE: _to_share_notice,
    TAG_RECORD_CHANGES: _to_record_changes,
    TAG_LOAD_NOTICE: _to_load_notice,
    TAG_TARGET_NOTICE: _to_target_notice,
    TAG_LEAVING_NOTICE: _to_leaving_notice,
    TAG_LEAVING_RECEIPT: _to_leaving_receipt,
    TAG_STORE_STATUS: _to_store_status,
    TAG_BODY_PART: _to_body_part,
    TAG_BODY_CREDIT: _to_body_credit,
}
