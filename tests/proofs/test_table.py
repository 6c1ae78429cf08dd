"""Test that docs/PROOFS.md matches the tests."""

from tests.proofs.table import PATH, render


def test_page_is_up_to_date() -> None:
    assert PATH.read_text(encoding="utf-8") == render()
