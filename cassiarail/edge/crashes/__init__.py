"""Find and quarantine the parts of prompts that crash targets."""
