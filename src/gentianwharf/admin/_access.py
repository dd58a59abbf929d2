"""Who may use the admin port."""

import hmac
from pathlib import Path
from typing import final

from twisted.web.server import Request

from gentianwharf.errors import InputError

LEAST_TOKEN_CHARACTERS = 16
"""Shorter tokens can be guessed over a network in a time that matters."""


def read_token(path: Path) -> str:
    """Return the token in ``path``; raises ``InputError`` when it is of no use."""
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(
            f"{path}: the token can't be read: {error}; write one line of at least"
            f" {LEAST_TOKEN_CHARACTERS} characters there",
            step="read token",
            peer=str(path),
        ) from error
    if (
        len(token) < LEAST_TOKEN_CHARACTERS
        or not token.isascii()
        or token.split() != [token]
    ):
        raise InputError(
            f"{path}: expected a token of at least {LEAST_TOKEN_CHARACTERS} ASCII"
            f" characters without blanks, got {len(token)} characters",
            step="read token",
            peer=str(path),
        )
    return token


def configured_token(*, token_file: str | None, directory: Path) -> str | None:
    """Return the token that settings in ``directory`` name, None when they name none.

    The settings' own check refuses that on any but a loopback address.
    """
    return None if token_file is None else read_token(directory / token_file)


@final
class TokenAuthenticator:
    """Lets in who knows the token; everybody when there is none (loopback only)."""

    def __init__(self, *, token: str | None) -> None:
        self._expected = None if token is None else f"Bearer {token}".encode()

    def is_authorized(self, request: Request) -> bool:
        """Compare in constant time: a plain comparison tells how much was right."""
        if self._expected is None:
            return True
        given = request.getHeader(b"authorization") or b""
        if isinstance(given, str):
            given = given.encode()
        return hmac.compare_digest(given, self._expected)
