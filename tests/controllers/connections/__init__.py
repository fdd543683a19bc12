"""Tests of the decisions on connections and retries."""
