//! Limits per client account, and retry budgets.
//!
//! [`Limits`] enforces this daemon's share of each client account's fleet-wide limits;
//! [`RetryBudget`] limits retries to a fraction of the recent starts. Both take the current time
//! as an argument and do no I/O.

mod account_limit;
mod allowance;
mod limit_exceeded;
mod limits;
mod retry_budget;
#[cfg(test)]
mod tests;
mod token_bucket;

pub use self::{
    allowance::Allowance, limit_exceeded::LimitExceeded, limits::Limits, retry_budget::RetryBudget,
    token_bucket::TokenBucket,
};
