"""The admin port's token file: accepted and rejected contents."""

from pathlib import Path

import pytest

from gentianwharf.admin import configured_token, read_token
from gentianwharf.errors import InputError


@pytest.mark.parametrize("text", ["a-token-of-some-length", "a-token-of-some-length\n"])
def test_token_is_one_line_of_a_file(tmp_path: Path, text: str) -> None:
    (tmp_path / "token").write_text(text)
    assert (
        configured_token(token_file="token", directory=tmp_path)
        == "a-token-of-some-length"
    )
    assert configured_token(token_file=None, directory=tmp_path) is None


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        pytest.param(b"", "at least 16", id="empty"),
        pytest.param(b"short", "got 5 characters", id="short"),
        pytest.param(b"two words that are long", "without blanks", id="blank"),
        pytest.param(b"one-line-of-it\nand-another", "without blanks", id="two-lines"),
        pytest.param("é".encode() * 20, "ASCII", id="not-ascii"),
        pytest.param(b"\xff" * 20, "can't be read", id="not-text"),
        pytest.param(None, "can't be read", id="missing"),
    ],
)
def test_invalid_token_file_is_refused_without_its_content(
    tmp_path: Path, content: bytes | None, expected: str
) -> None:
    path = tmp_path / "token"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(InputError, match=expected) as caught:
        read_token(path)
    assert "short" not in caught.value.message
