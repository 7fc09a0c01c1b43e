//! Permits to be unavailable: never more at once than the limits allow, whatever dies, is lost or requested twice. The
//! checkers know who is unavailable and the limits, and nothing of permits.

mod fixtures;
mod histories;
mod permits;
mod reporter;
