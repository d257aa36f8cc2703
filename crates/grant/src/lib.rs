//! Sharing of upstream slots between daemons.
