"""Randomized soak test that injects faults into the real platform processes from outside.

Each run draws its faults from a seed. A loopback proxy delays, stalls or resets connections, or
blocks one direction. Processes are killed, paused, stopped and restarted by signals. The store
fails, and backend servers crash, drain and return errors. Callers hold persistent connections
throughout. What callers and backend servers observe is checked against the platform's guarantees.
"""
