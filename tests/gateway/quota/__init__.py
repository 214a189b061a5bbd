"""Tests of the usage ledger and of quotas."""
