//! The member side of the proxy: the connection pool, the exchange of a statement, attempts of requests, and health
//! checks. The router chooses the members and decides on retries.

pub mod attempt;
pub mod connection;
mod exchange;
pub mod health_check;
pub mod pool;
pub mod reply;
pub mod report;
pub mod response;
pub mod send_eligibility;
pub mod send_guard;
pub mod sync_check;
