//! Release notes, their check and their version order.
