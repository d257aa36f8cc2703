//! Tiered queue of waiting jobs, fair between client accounts.
