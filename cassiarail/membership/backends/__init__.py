"""Carry messages between peers over different transports."""
