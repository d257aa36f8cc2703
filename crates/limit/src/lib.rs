//! Limits by client account and retry budgets.
//!
//! [`Limits`] holds this daemon's share of each client account's fleet-wide limits;
//! [`RetryBudget`] bounds retries to a fraction of the recent starts. Both take the current time
//! and do no I/O.

mod account_limit;
mod allowance;
mod bucket;
mod exceeded;
mod limits;
mod retry_budget;
#[cfg(test)]
mod tests;

pub use self::{
    allowance::Allowance, bucket::Bucket, exceeded::Exceeded, limits::Limits,
    retry_budget::RetryBudget,
};
