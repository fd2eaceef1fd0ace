"""Encode and decode tickets, and authenticate them with a MAC bound to the member."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import functools
import hmac
import sys

import msgspec

from knapweedbeam_core import decoding, ids, outcomes, reasons

MAC_BYTES = 16
NONCE_BYTES = 8
MAX_TICKET_CHARS = 512
PARSE_CACHE_SIZE = 4_096
PROCESS_CACHE_SIZE = 4_096
PURPOSE = b"knapweedbeam ticket 1"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The decoded fields of a ticket.

    `minted_ms` is the owner's wall clock, for people and other processes.
    `owner_ms` is the owner's monotonic clock: the owner derives the ticket's age from
    it, so that steps of the wall clock have no effect.
    """

    text: str
    domain: str
    owner: ids.ProcessId
    witness: ids.ProcessId | None
    minted_ms: int
    owner_ms: int


class Body(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The fields of a ticket in their packed order."""

    domain: str
    owner: str
    owner_incarnation: int
    witness: str
    witness_incarnation: int
    minted_ms: int
    owner_ms: int
    nonce: bytes


DECODER = msgspec.msgpack.Decoder(Body)


def build_mac(key: bytes, member: str, packed: bytes) -> bytes:
    """Return the MAC of a packed ticket for one member."""
    authenticated = msgspec.msgpack.encode((PURPOSE, member, packed))
    return hmac.digest(key, authenticated, "sha256")[:MAC_BYTES]


def mint(key: bytes, member: str, body: Body) -> str:
    """Return the text of a new ticket."""
    packed = msgspec.msgpack.encode(body)
    return encode_text(build_mac(key, member, packed) + packed)


def encode_text(raw: bytes) -> str:
    """Return bytes as unpadded URL-safe base64."""
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode("ascii")


def decode_text(text: str) -> bytes | None:
    """Return the bytes that a text encodes, or none if it is not canonical."""
    if len(text) > MAX_TICKET_CHARS:
        return None
    try:
        raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except (binascii.Error, ValueError):
        return None
    return raw if encode_text(raw) == text else None


def parse_unverified(text: str) -> Ticket | None:
    """Return a ticket without checking its MAC, or none if the text is no ticket."""
    raw = decode_text(text)
    return None if raw is None else decode_body(text, raw[MAC_BYTES:])


def decode_body(text: str, packed: bytes) -> Ticket | None:
    """Return the ticket that packed bytes encode, or none if they are invalid."""
    try:
        body = DECODER.decode(packed)
    except decoding.ERRORS:
        return None
    witness = None
    if body.witness:
        witness = get_process(body.witness, body.witness_incarnation)
    owner = get_process(body.owner, body.owner_incarnation)
    domain = sys.intern(body.domain)
    return Ticket(text, domain, owner, witness, body.minted_ms, body.owner_ms)


@functools.lru_cache(PROCESS_CACHE_SIZE)
def get_process(name: str, incarnation: int) -> ids.ProcessId:
    """Return a shared object for all tickets that name the same process."""
    return ids.ProcessId(name, incarnation)


@functools.lru_cache(PARSE_CACHE_SIZE)
def parse(key: bytes, text: str, member: str) -> Ticket | outcomes.Refusal:
    """Return a ticket of `member`, or `NOT_FOUND` if its MAC is not valid.

    The result is cached because a ticket is parsed several times in a row.
    """
    unknown = outcomes.Refusal(reasons.Reason.NOT_FOUND, "ticket")
    raw = decode_text(text)
    if raw is None:
        return unknown
    packed = raw[MAC_BYTES:]
    mac = build_mac(key, member, packed)
    if not hmac.compare_digest(mac, raw[:MAC_BYTES]):
        return unknown
    return decode_body(text, packed) or unknown
