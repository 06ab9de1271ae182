//! Weights: planning, chunk exchange, cache and pacing.
