"""The slots of runners: their homes and those who ask for them."""
