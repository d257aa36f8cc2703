//! Router for language-model traffic with service levels and priorities.
