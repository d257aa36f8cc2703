//! Tests of whole processes; see `tests/`. The library is empty.
