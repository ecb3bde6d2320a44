"""Tests of what targets state of themselves in their answers: a request rate, and their leaving."""

import unittest

from gooseberrydock.errorcodes import STATEMENT_INVALID
from gooseberrydock.errors import GooseberrydockError
from gooseberrydock.mesh.options import HeaderNames
from gooseberrydock.mesh.target_statements import TargetStatement, read_statement

_NAMES = HeaderNames()


class ReadStatementCases(unittest.TestCase):
    """Statements as they stand in the headers of answers."""

    def test_statements_are_read(self) -> None:
        cases = (
            ((), TargetStatement(None, False)),
            (((_NAMES.rate_limit, b"36.2"),), TargetStatement(36.2, False)),
            (((_NAMES.rate_limit, b" 0 "),), TargetStatement(0.0, False)),
            (((_NAMES.leaving, b"1"),), TargetStatement(None, True)),
            (((_NAMES.leaving, b"0"),), TargetStatement(None, False)),
        )
        for headers, expected in cases:
            with self.subTest(headers=headers):
                self.assertEqual(expected, read_statement(list(headers), _NAMES))

    def test_limit_that_is_no_rate_is_refused(self) -> None:
        for value in (b"many", b"-1", b"nan", b"inf", b"1e999"):
            with self.subTest(value=value), self.assertRaises(GooseberrydockError) as raised:
                read_statement([(_NAMES.rate_limit, value)], _NAMES)
            self.assertIs(STATEMENT_INVALID, raised.exception.code)
