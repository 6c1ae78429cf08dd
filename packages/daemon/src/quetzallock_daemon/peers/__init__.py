"""Streams of msgpack messages between entry hosts."""

from .links import PeerLinks, make_peer_factory

__all__ = ["PeerLinks", "make_peer_factory"]
