"""Decision logic of the platform gateway.

Covers routing, server choice, queueing, retries and expert placement. Modules of this package do
no I/O, take the current time as an argument and import only `gentianpaddle_core`.
"""
