"""Tests of forwarding against scripted upstreams, over real sockets."""
