"""The page of proofs says what the tests say."""

from tests.proofs.table import PATH, render


def test_page_is_up_to_date() -> None:
    assert PATH.read_text(encoding="utf-8") == render()
