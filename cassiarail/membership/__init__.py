"""Maintain controller membership and share state between controllers."""
