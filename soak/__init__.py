"""A randomized soak test of the program, with faults injected from outside.

Instances run as ``cicadacourse serve`` processes and reach the stand-in store and
endpoints through loopback proxies. A seed determines the load and the faults. While
they go on, the guarantees to callers and endpoints are checked from the responses that
callers receive and the requests that endpoints run.
"""
