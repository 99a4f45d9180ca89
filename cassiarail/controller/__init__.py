"""Run the control loop of a data centre."""
