"""Keep the membership of controllers and spread what they know."""
