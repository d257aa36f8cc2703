//! Metric families of the daemon.
