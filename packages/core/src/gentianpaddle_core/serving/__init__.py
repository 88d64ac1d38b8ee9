"""Decisions of the platform gateway, without I/O: routes, servers, placement, waiting, experts.

Modules here take time as an argument and may import only `gentianpaddle_core`.
"""
