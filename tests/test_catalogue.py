"""The catalogue of log events and error codes matches the registries."""

import unittest

from bench.catalogue import CATALOGUE, render_catalogue


class CatalogueTest(unittest.TestCase):
    """Compares docs/EVENTS.md with the catalogue rendered from the registries."""

    def test_catalogue_is_up_to_date(self) -> None:
        self.assertEqual(CATALOGUE.read_text(encoding="utf-8"), render_catalogue())
