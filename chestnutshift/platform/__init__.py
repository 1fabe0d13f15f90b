"""The adapter for the hosting platform: names, formats and calls only.

Everything that crosses this boundary is decoded here, once, into the types
of the other packages. Decisions belong in those packages.
"""
