"""Wire formats of every interface, for servers and clients.

The names of encoded fields are those of the protocol and are defined only here.
"""
