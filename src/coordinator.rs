//! Coordination of one data centre: lease, status, switch permits, counts.
