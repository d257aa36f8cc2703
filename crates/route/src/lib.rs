//! Upstream pool and the choice of an upstream.
