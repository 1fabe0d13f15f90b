"""The users' platform: its names, formats and calls, and no decision.

Everything that crosses this boundary is decoded once, here, into the types
of the other packages.
"""
