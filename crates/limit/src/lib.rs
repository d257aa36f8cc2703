//! Limits by client account and retry budgets.
