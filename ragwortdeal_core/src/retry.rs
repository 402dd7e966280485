//! Retry budgets, and the rule that decides whether a call may run again.
