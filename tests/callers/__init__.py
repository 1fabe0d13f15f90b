"""Tests of the callers' port, over real sockets."""
