"""Query execution: planning, fan-out, hedging, merging, coverage and admission."""
