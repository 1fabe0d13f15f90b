"""At-most-once execution of non-idempotent requests.

A caller sends such a request with an Idempotency-Key. Requests with the same
key are repeats of one operation, which upstreams run at most once.
"""
