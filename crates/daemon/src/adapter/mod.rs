//! Interfaces that an adapter to a platform implements.
//!
//! The daemon makes all decisions; an adapter only translates the platform's protocol:
//! [`HeaderAdapter`] the headers of routed requests, [`StoreAdapter`] the rows of the platform's
//! store, [`CloudAdapter`] the calls to its control service.

mod attempt_info;
mod cloud_adapter;
mod header_adapter;
mod request_metadata;
mod response_kind;
mod store_adapter;
mod store_reads;
mod upstream_notice;

pub use peer::ListedHost;

pub use self::{
    attempt_info::AttemptInfo,
    cloud_adapter::{CallHolder, CallResult, CloudAdapter, UpstreamOrder},
    header_adapter::HeaderAdapter,
    request_metadata::{MalformedHeader, RequestMetadata},
    response_kind::ResponseKind,
    store_adapter::StoreAdapter,
    store_reads::{ConfigRead, UpstreamRead, UpstreamRow},
    upstream_notice::UpstreamNotice,
};
