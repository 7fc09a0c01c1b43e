//! Quotas of the fleet's budgets under everything that can go wrong between a granter that is replaced and proxies that
//! join, are suspended, resume and die. The checkers know the totals and look at the units in use; they know nothing of
//! quotas.

mod bounds;
mod fixtures;
mod histories;
mod max_min_fair;
mod search;
mod steady;
