"""Run all tests with nose2 and print a closing line with the passed and failed counts."""

import sys

import hypothesis
from nose2 import discover

from tests.counting import outcomes


def main() -> int:
    """Run the tests; return 1 if a test failed or none passed."""
    hypothesis.settings.register_profile(
        "fixed", derandomize=True, deadline=None, database=None, print_blob=False
    )
    hypothesis.settings.load_profile("fixed")
    arguments = ["nose2", "-s", "tests", "-t", "."]
    program = discover(module=None, argv=arguments, exit=False, plugins=["tests.counting"])
    passed, failed = outcomes["passed"], outcomes["failed"]
    print(f"{passed} passed, {failed} failed")
    return 0 if passed and program.result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
