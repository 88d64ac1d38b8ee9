"""Protobuf messages and gRPC services; the modules are generated from `messages.proto`."""

from __future__ import annotations
