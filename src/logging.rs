//! Logs: one line of key=value pairs per event, written to standard error.
