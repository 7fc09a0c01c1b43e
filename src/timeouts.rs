//! Time limits that survive a hold-up of the process. After one, timers fire before the runtime has asked the kernel what
//! arrived meanwhile, so an expired timer does not show that the peer was late.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// How long the final poll may take: enough for the runtime to ask the kernel once what has arrived.
const FINAL_POLL: Duration = Duration::from_millis(20);

/// Like [`timeout`], but polls the future once more, with what has arrived meanwhile, before it gives up.
///
/// # Errors
/// The future is ready neither within the limit nor at the final poll.
pub async fn timeout_with_final_poll<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    match timeout(limit, &mut future).await {
        Ok(output) => Ok(output),
        Err(_) => timeout(FINAL_POLL, future).await,
    }
}
