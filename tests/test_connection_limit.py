"""Tests of the bound on callers' connections: which one is closed when there are too many."""

import unittest

import attrs

from gooseberrydock.connection_limit import (
    Activity,
    ConnectionLimit,
    Listening,
    create_connection_limits,
)


@attrs.define(eq=False)
class _Connection:
    """A connection in a state that the test sets."""

    activity: Activity = Activity.WAITING_FOR_REQUEST
    active_since: float = 0.0
    has_unread_bytes: bool = False
    is_closed: bool = False

    def close(self) -> None:
        """Record the close."""
        self.is_closed = True


class ConnectionLimitCases(unittest.TestCase):
    """Over the limit, the connection goes that its caller needs least."""

    def _closed(self, *connections: _Connection) -> list[int]:
        """Add connections, one more than may be open; return the positions of closed ones."""
        limit = ConnectionLimit(len(connections) - 1)
        for connection in connections:
            limit.add(0.0, connection)
        self.assertEqual(limit.max_connections, limit.open)
        return [number for number, item in enumerate(connections) if item.is_closed]

    def test_connection_that_waits_longest_is_closed(self) -> None:
        closed = self._closed(
            _Connection(active_since=5.0), _Connection(active_since=2.0), _Connection()
        )
        self.assertEqual([1], closed)

    def test_idle_connection_goes_before_an_incomplete_body(self) -> None:
        reading = _Connection(Activity.READING_BODY, active_since=0.0)
        self.assertEqual([1], self._closed(reading, _Connection(active_since=9.0), _Connection()))

    def test_closing_connection_goes_first(self) -> None:
        closing = _Connection(Activity.CLOSING, active_since=9.0)
        self.assertEqual([1], self._closed(_Connection(), closing, _Connection()))

    def test_connection_that_sends_its_answers_goes_last(self) -> None:
        # Guards against review/15: idle connections displaced callers that were reading.
        sending = [_Connection(Activity.SENDING, active_since=at) for at in (1.0, 0.0)]
        idle = _Connection(active_since=9.0)
        body = _Connection(Activity.READING_BODY, active_since=9.0)
        self.assertEqual([2], self._closed(*sending, idle, body, _Connection()))
        self.assertEqual([2], self._closed(*sending, body, _Connection(Activity.SERVING)))
        self.assertEqual([1], self._closed(*sending, _Connection(Activity.SERVING)))

    def test_connection_with_an_unanswered_request_is_not_closed(self) -> None:
        serving = [_Connection(Activity.SERVING) for _ in range(3)]
        self.assertEqual([3], self._closed(*serving, _Connection()))

    def test_connection_whose_request_has_arrived_is_not_closed(self) -> None:
        arrived = _Connection(has_unread_bytes=True)
        self.assertEqual([1], self._closed(arrived, _Connection(active_since=3.0), _Connection()))

    def test_pressure_is_reported_once_until_it_is_calm(self) -> None:
        limit = ConnectionLimit(1)
        limit.add(0.0, _Connection())
        reports = [limit.add(now_ms, _Connection()) for now_ms in (0.0, 1.0, 4_000.0, 9_500.0)]
        self.assertEqual([True, False, False, True], reports)
        self.assertEqual(4, limit.closed)

    def test_listeners_leave_sockets_for_the_node(self) -> None:
        for sockets in (64, 200, 3_900):
            limits = create_connection_limits(sockets, 100_000)
            total = sum(limit.max_connections for limit in limits.values())
            self.assertLessEqual(total, sockets * 0.75)
            self.assertGreater(limits[Listening.CALLERS].max_connections, sockets // 2)
