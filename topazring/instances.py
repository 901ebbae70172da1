"""Decode the entries of the platform's list of instances."""

import typing

import msgspec

from topazring.core import members as membership

__all__ = ['Instance', 'decode']

_Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]


class Instance(msgspec.Struct):
    """Entry of any instance in the platform's list."""

    kind: str = ''
    state: str = ''


class _ProxyInstance(msgspec.Struct):
    """Entry of a proxy in the platform's list."""

    name: str
    incarnation: str
    host: str
    region: str
    data_centre: str
    hop_port: _Port
    gossip_port: _Port
    operator_port: _Port
    state: str


_decode_instance = msgspec.json.Decoder(Instance).decode
_decode_proxy = msgspec.json.Decoder(_ProxyInstance).decode


def decode(text: str) -> membership.Member | Instance:
    """Return a proxy, or another instance; raise an error if malformed."""
    instance = _decode_instance(text)
    if instance.kind != 'proxy':
        return instance
    raw = _decode_proxy(text)
    return membership.Member(
        raw.name,
        raw.incarnation,
        raw.host,
        raw.region,
        raw.data_centre,
        raw.hop_port,
        raw.gossip_port,
        raw.operator_port,
        raw.state == 'leaving',
    )
