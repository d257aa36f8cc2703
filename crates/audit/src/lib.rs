//! Decision records of requests and audit trail entries.
