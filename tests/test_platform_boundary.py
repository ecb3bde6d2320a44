"""Tests that the platform's names occur in the adapter alone, which the product does not import."""

import re
import unittest
from pathlib import Path

_PACKAGE = Path(__file__).parent.parent / "gooseberrydock"
_FOREIGN_NAMES = re.compile(
    r"request-id\"|deadline-ms\"(?!.*gooseberrydock)|expected-instance\"|not-executed\"|"
    r"server-seal|caller-service\"|/-/|kv-|op/config|coldLeftMs|heartbeat(Interval|Addr)|"
    r"targetLatencyMs|trafficSplit|timeoutMs|portRange|appAddr|sidecar"
)


def _find_lines_with_foreign_names() -> list[str]:
    lines = []
    for path in sorted(_PACKAGE.rglob("*.py")):
        if "platform" in path.relative_to(_PACKAGE).parts:
            continue
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), start=1):
            if _FOREIGN_NAMES.search(line) and "gooseberrydock-" not in line:
                lines.append(f"{path.name}:{number}: {line.strip()}")
    return lines


class BoundaryCases(unittest.TestCase):
    """Source files of the product outside the adapter."""

    def test_no_foreign_name_outside(self) -> None:
        self.assertEqual([], _find_lines_with_foreign_names())

    def test_product_does_not_import_the_adapter(self) -> None:
        importers = [
            path.name
            for path in sorted(_PACKAGE.rglob("*.py"))
            if "platform" not in path.relative_to(_PACKAGE).parts
            and "gooseberrydock.platform" in path.read_text(encoding="utf-8")
        ]
        self.assertEqual([], importers)
