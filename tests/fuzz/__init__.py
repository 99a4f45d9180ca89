"""Run the state machines for longer than the tests do."""
