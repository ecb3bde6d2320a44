"""The catalogue of events and codes is complete."""

import unittest

from bench.catalogue import CATALOGUE, render_catalogue


class CatalogueTest(unittest.TestCase):
    """docs/EVENTS.md against the registries."""

    def test_catalogue_is_up_to_date(self) -> None:
        self.assertEqual(CATALOGUE.read_text(encoding="utf-8"), render_catalogue())
