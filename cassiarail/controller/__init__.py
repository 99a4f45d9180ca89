"""Run the controller process."""
