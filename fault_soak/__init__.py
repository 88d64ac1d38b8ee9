"""Randomized soak of the real platform processes under faults that are injected from outside.

Each run draws its faults from a seed: a loopback proxy delays, resets, silences or cuts connections
one way; processes are killed, paused, stopped and restarted by signals; the store misbehaves;
backend servers crash, drain and fail. Callers keep their connections open all the while. What
callers and backend servers see is checked against the promises of the platform's rules.
"""
