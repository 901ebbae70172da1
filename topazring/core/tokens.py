"""Sign and check session tokens."""

import base64
import binascii
import hashlib
import hmac

import msgspec

from topazring.core import log_positions

__all__ = ['Session', 'TokenError', 'verify_token', 'sign_token']

MAC_BYTES = 16


class Session(msgspec.Struct, frozen=True, array_like=True):
    """Organisation, database and last seen log position of a session."""

    organisation: str
    database: str
    log_term: int
    position: int

    def place(self) -> log_positions.LogPosition:
        """Return the log position that the session has seen."""
        return log_positions.LogPosition(self.log_term, self.position)


class TokenError(ValueError):
    """Token that is malformed, forged or issued for another session."""


def sign_token(session: Session, key: bytes) -> str:
    """Return a signed token that any proxy can verify without state."""
    body = msgspec.msgpack.encode(session)
    return base64.urlsafe_b64encode(_mac(body, key) + body).decode()


def verify_token(
    token: str, keys: list[bytes], organisation: str, database: str
) -> Session:
    """Return a token's session; raise TokenError if it is not valid here.

    A caller that could choose any log position could block reads
    indefinitely, or infer from the waiting times how far another
    organisation's log has advanced.
    """
    try:
        raw = base64.urlsafe_b64decode(token.encode())
    except (binascii.Error, ValueError):
        raise TokenError('the token is not well-formed') from None
    mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
    is_signed = any(hmac.compare_digest(mac, _mac(body, key)) for key in keys)
    if not is_signed:
        raise TokenError('the token was not signed here')
    session = msgspec.msgpack.decode(body, type=Session)
    if (session.organisation, session.database) != (organisation, database):
        raise TokenError('the token is of another organisation or database')
    return session


def _mac(body: bytes, key: bytes) -> bytes:
    return hmac.new(key, body, hashlib.sha256).digest()[:MAC_BYTES]
