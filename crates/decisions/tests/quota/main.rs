//! Tests of the quotas of fleet-wide budgets under faults: the granter is replaced, and proxies join, are suspended,
//! resume and crash. The checkers compare the units in use with the totals, independently of the quotas.

mod bounds;
mod fixtures;
mod histories;
mod max_min_fair;
mod search;
mod steady;
