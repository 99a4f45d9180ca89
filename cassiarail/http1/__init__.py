"""Speak HTTP/1.1 byte-exactly, as a server and as a client."""
