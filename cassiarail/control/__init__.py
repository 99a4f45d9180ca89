"""Carry out the plan: memory ledger, orders to engines and inventory."""
