"""Tests of the morning sheet: errors name line and column, and one error rejects a whole sheet."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from gooseberrydock.capacity_plan import TargetCapacity, plan_services
from gooseberrydock.configuration import CallStep, ServiceClass
from gooseberrydock.sheet import describe_changes, parse_sheet, render_sheet

_HEADER = "service_class,priority,expected_per_minute,call_path,deadline_ms,idempotent\n"
_VALID_ROW = "booking,0,100,shop/book > stock/take*2,4000,no\n"

ERROR_CASES = [
    ("", 1, 0, "missing"),
    (_HEADER, 1, 0, "no rows"),
    ("service_class,priority,expected_per_minute,call_path,colour\n", 1, 5, "not a known column"),
    (_HEADER + _VALID_ROW + _VALID_ROW, 3, 1, "already stands in line 2"),
    (_HEADER + "booking,ten,100,shop/book,,\n", 2, 2, "not a number"),
    (_HEADER + "booking,10,100,shop/book,,\n", 2, 2, "not between"),
    (_HEADER + "booking,1.5,100,shop/book,,\n", 2, 2, "not a whole number"),
    (_HEADER + "booking,0,-1,shop/book,,\n", 2, 3, "not between"),
    (_HEADER + "booking,0,nan,shop/book,,\n", 2, 3, "not between"),
    (_HEADER + "booking,0,100,shop,,\n", 2, 4, "is not service/operation"),
    (_HEADER + "booking,0,100,shop/book > ,,\n", 2, 4, "is not service/operation"),
    (_HEADER + "booking,0,100,shop/book,,perhaps\n", 2, 6, "neither yes nor no"),
    (_HEADER + "booking,0,100,shop/book\n", 2, 0, "4 cells instead of 6"),
    (_HEADER + "Big Booking,0,100,shop/book,,\n", 2, 1, "is not a name"),
    (_HEADER + '"booking,0\n', 2, 0, "not valid CSV"),
]


class SheetTest(unittest.TestCase):
    """Parsing, rendering and comparing of sheets, and the capacity plan of their classes."""

    def test_errors_name_line_and_column(self) -> None:
        for text, line, column, expected_text in ERROR_CASES:
            with self.subTest(text=text):
                sheet = parse_sheet(text)
                self.assertFalse(sheet.is_valid)
                self.assertEqual(sheet.classes, ())
                found = [(e.line, e.column) for e in sheet.errors if expected_text in str(e)]
                self.assertIn((line, column), found, [str(e) for e in sheet.errors])

    def test_one_invalid_row_rejects_the_sheet(self) -> None:
        sheet = parse_sheet(_HEADER + _VALID_ROW + "other,x,1,shop/look,,\n")
        self.assertEqual((sheet.classes, len(sheet.errors)), ((), 1))

    def test_valid_row_is_parsed_and_rendered(self) -> None:
        parsed = parse_sheet("\ufeff" + _HEADER + _VALID_ROW).classes[0]
        path = (CallStep("shop", "book"), CallStep("stock", "take", 2))
        expected = ServiceClass("booking", 0, path, 100.0, 4000.0, is_idempotent=False)
        self.assertEqual(parsed, expected)
        self.assertEqual(parse_sheet(render_sheet((parsed,))).classes, (parsed,))

    def test_every_change_is_described(self) -> None:
        old = ServiceClass("a", 0, (CallStep("s", "o"),), 1.0)
        new = ServiceClass("a", 1, (CallStep("s", "o"),), 1.0)
        other = ServiceClass("b", 2, (CallStep("s", "p"),), 1.0)
        self.assertEqual(describe_changes((old,), (old,)), [])
        self.assertEqual(describe_changes((old,), (new,)), ["~ a: priority 0 -> 1"])
        self.assertEqual(describe_changes((old,), (other,)), ["- a", "+ b: priority 2, s/p"])

    def test_plan_counts_calls_along_the_path(self) -> None:
        path = (CallStep("shop", "book"), CallStep("stock", "take", 2), CallStep("till", "pay"))
        classes = (
            ServiceClass("booking", 0, path, 100.0),
            ServiceClass("look", 4, (CallStep("stock", "see"),), 50.0),
        )
        targets = [TargetCapacity("stock", 2, 600.0), TargetCapacity("shop", 4, 100.0)]
        plans = {plan.service: plan for plan in plan_services(classes, targets)}
        self.assertEqual(plans["stock"].demand, 250.0)
        self.assertEqual(plans["stock"].capacity, 200.0)
        self.assertEqual([n for n, p in plans.items() if p.exceeds_capacity], ["stock"])
        self.assertEqual((plans["till"].demand, plans["till"].capacity), (200.0, 0.0))

    @given(st.text(max_size=200))
    def test_any_text_gives_either_classes_or_errors(self, text: str) -> None:
        for candidate in (text, _HEADER + text, _HEADER + _VALID_ROW + text):
            sheet = parse_sheet(candidate)
            self.assertNotEqual(bool(sheet.classes), bool(sheet.errors))
