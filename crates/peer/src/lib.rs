//! Membership between daemons over authenticated datagrams.
