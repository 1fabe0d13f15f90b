"""Selection of an upstream for each request, within this VM's slots.

A slot stands for one request that an upstream runs at a time. The slots of a
failure domain's upstreams are divided among its VMs, which lend them to each
other.
"""
