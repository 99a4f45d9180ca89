"""Implement the transports for messages between peers."""
