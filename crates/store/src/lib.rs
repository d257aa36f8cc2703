//! Platform's table service and host list.
//!
//! [`Table`] and [`HostList`] are the borders to the platform. [`HttpTable`] speaks to the table
//! service over HTTP; [`MemoryTable`] keeps rows in memory and injects faults, for tests.
//!
//! The error of a write says what is known about it: [`StoreError::Down`] means that nothing was
//! applied, [`StoreError::Unknown`] that the write may have taken effect and has to be read back.

mod expect;
mod fault;
mod host_entry;
mod host_list;
mod http_table;
mod memory_table;
mod row;
mod store_error;
mod table;
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
    table::Table,
};
