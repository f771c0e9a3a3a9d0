"""Administration routes of operators, and the checks behind them."""
