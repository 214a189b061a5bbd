"""Replaces the keys in the operators' configuration by digests."""

from __future__ import annotations

import msgspec
from msgspec import Raw

from sardinehook.decoding import DECODE_ERRORS
from sardinehook.gateway.organisations.key_index import digest_key
from sardinehook.platform.configuration import UNREADABLE, WireTenant

__all__ = ["replace_keys"]

TENANTS = "Tenants"

DOCUMENT_DECODER = msgspec.json.Decoder(dict[str, Raw])
TENANTS_DECODER = msgspec.json.Decoder(list[WireTenant] | None, strict=False)


def replace_keys(value: bytes) -> bytes:
    """Return the configuration with digests in place of keys, the same at all gateways.

    A value without organisations stays as it is, and so do the other parts of one with
    organisations. Of these, only the fields that the decoder knows are kept: a
    misspelled one may hold keys. A value that cannot be read is replaced by a text that
    says why, since it may hold keys too; the decoder of the configuration refuses it.

    >>> replace_keys(b'{"Version":1,"Tenants":[{"Name":"a","ApiKeys":["k"]}]}')
    b'{"Version":1,"Tenants":[{"Name":"a","KeyDigests":["PdBR5eNeSGgeORWZCxzjVA=="]}]}'
    >>> replace_keys(b'{"ApiKeys')
    b'unreadable configuration: 9 bytes: Input data was truncated'
    """
    try:
        document = DOCUMENT_DECODER.decode(value)
        if TENANTS not in document:
            return value
        tenants = TENANTS_DECODER.decode(document[TENANTS])
        for tenant in tenants or ():
            replace_in_tenant(tenant)
    except DECODE_ERRORS as error:
        # The errors name the place of a fault and types, but no content.
        return UNREADABLE + f"{len(value)} bytes: {error}".encode()
    document[TENANTS] = Raw(msgspec.json.encode(tenants))
    return msgspec.json.encode(document)


def replace_in_tenant(tenant: WireTenant) -> None:
    """Replace the keys of an organisation by digests."""
    keys = [key.encode() for key in tenant.api_keys or () if key]
    tenant.api_keys = None
    if keys:
        tenant.key_digests = [*(tenant.key_digests or ()), *map(digest_key, keys)]
