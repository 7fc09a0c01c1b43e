//! Timeouts that tolerate a hold-up of the process. After a hold-up, timers fire before the runtime has polled the
//! kernel for input that arrived meanwhile, so an expired timer does not prove that the peer was late.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Time limit of the final poll: enough for the runtime to poll the kernel once for input.
const FINAL_POLL_TIMEOUT: Duration = Duration::from_millis(20);

/// Like [`timeout`], but polls the future for up to 20 ms more after the timer fires, so that input counts if it has
/// arrived by then.
///
/// # Errors
/// The future is not ready within the limit, nor within the final poll.
pub async fn timeout_with_final_poll<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    match timeout(limit, &mut future).await {
        Ok(output) => Ok(output),
        Err(_) => timeout(FINAL_POLL_TIMEOUT, future).await,
    }
}
