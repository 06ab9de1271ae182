//! Subcommands of the operators' tool.
