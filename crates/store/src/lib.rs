//! Access to the platform's table service and host list.
//!
//! The table service stores versioned rows and supports conditional writes. [`Table`] and
//! [`HostList`] are the interfaces to the platform. [`HttpTable`] implements them over HTTP;
//! [`MemoryTable`] keeps rows in memory and injects faults, for tests.
//!
//! The error of a write shows whether it took effect: after [`StoreError::Down`] nothing was
//! applied, after [`StoreError::Unknown`] the write may have taken effect and the row has to be
//! read back.
//!
//! A [`StoreVersion`] is a pair of era and number: a platform whose store comes back from an older
//! copy gives numbers out again, in a new era.

mod expect;
mod fault;
mod host_entry;
mod host_list;
mod http_table;
mod memory_table;
mod row;
mod store_error;
mod store_version;
mod table;
mod table_copy;
#[cfg(test)]
mod tests;

pub use self::{
    expect::Expect,
    fault::Fault,
    host_entry::{HostEntry, HostState},
    host_list::HostList,
    http_table::HttpTable,
    memory_table::MemoryTable,
    row::Row,
    store_error::StoreError,
    store_version::StoreVersion,
    table::Table,
    table_copy::TableCopy,
};
