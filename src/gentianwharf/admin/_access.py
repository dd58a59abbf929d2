"""Bearer-token authentication of the admin port."""

import hmac
from pathlib import Path
from typing import final

from twisted.web.server import Request

from gentianwharf.errors import InputError

MIN_TOKEN_CHARACTERS = 16
"""Shorter tokens can be guessed over the network within a realistic time."""


def read_token(path: Path) -> str:
    """Return the token in ``path``; raises ``InputError`` if unreadable or invalid."""
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(
            f"{path}: the token can't be read: {error}; write one line of at least"
            f" {MIN_TOKEN_CHARACTERS} characters there",
            step="read token",
            peer=str(path),
        ) from error
    if (
        len(token) < MIN_TOKEN_CHARACTERS
        or not token.isascii()
        or token.split() != [token]
    ):
        raise InputError(
            f"{path}: expected a token of at least {MIN_TOKEN_CHARACTERS} ASCII"
            f" characters without blanks, got {len(token)} characters",
            step="read token",
            peer=str(path),
        )
    return token


def configured_token(*, token_file: str | None, directory: Path) -> str | None:
    """Return the token in ``token_file``, relative to ``directory``; None without one.

    The check of the settings allows no token on loopback addresses only.
    """
    return None if token_file is None else read_token(directory / token_file)


@final
class TokenAuthenticator:
    """Checks requests' bearer token; without one, all are allowed (loopback only)."""

    def __init__(self, *, token: str | None) -> None:
        self._expected_header = None if token is None else f"Bearer {token}".encode()

    def is_authorized(self, request: Request) -> bool:
        """Return whether the request has the token, or whether none is needed.

        The comparison takes constant time, so that its duration does not reveal how
        much of a guessed token is right.
        """
        if self._expected_header is None:
            return True
        header = request.getHeader(b"authorization") or b""
        if isinstance(header, str):
            header = header.encode()
        return hmac.compare_digest(header, self._expected_header)
