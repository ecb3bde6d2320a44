"""Tests of gooseberrydock: data-driven cases, property tests and focused tests of failures."""
