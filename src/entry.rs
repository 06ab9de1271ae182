//! Request path on entry VMs.
