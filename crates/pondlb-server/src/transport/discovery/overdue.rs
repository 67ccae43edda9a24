//! Calls that have timed out. They stay open beside the calls that replace them, since a slow discovery answers them in
//! the end.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::timeout;

use super::call::{Call, ReceivedList};
use super::error::CallError;

/// How many overdue calls are kept open. If there are more, the oldest one is closed.
const MAX_OVERDUE_CALLS: usize = 12;
/// An overdue call is closed after this time. Its connection may lead to a machine that is gone.
const MAX_OVERDUE_TIME: Duration = Duration::from_secs(20);

/// How a call ends; `None` where it was closed without a response.
type CallEnd = Option<Result<ReceivedList, CallError>>;

/// An overdue call that has ended with a response or an error.
pub struct EndedCall {
    pub call: Rc<Call>,
    pub result: Result<ReceivedList, CallError>,
}

struct OverdueCall {
    call: Rc<Call>,
    end: Pin<Box<dyn Future<Output = CallEnd>>>,
}

/// The overdue calls that are open.
#[derive(Default)]
pub struct OverdueCalls {
    calls: Vec<OverdueCall>,
}

impl OverdueCalls {
    /// Keeps a call open. `rest` is what remains to be done for it.
    pub fn push(
        &mut self,
        call: Rc<Call>,
        rest: impl Future<Output = Result<ReceivedList, CallError>> + 'static,
    ) {
        if self.calls.len() >= MAX_OVERDUE_CALLS {
            self.calls.remove(0);
        }
        let end = Box::pin(async move { timeout(MAX_OVERDUE_TIME, rest).await.ok() });
        self.calls.push(OverdueCall { call, end });
    }

    /// Closes all of them.
    pub fn clear(&mut self) {
        self.calls.clear();
    }

    /// Waits until one of them ends. Cancelling the wait loses nothing.
    pub async fn next_end(&mut self) -> EndedCall {
        poll_fn(|context| self.poll_next_end(context)).await
    }

    fn poll_next_end(&mut self, context: &mut Context<'_>) -> Poll<EndedCall> {
        let mut index = 0;
        while index < self.calls.len() {
            let Poll::Ready(end) = self.calls[index].end.as_mut().poll(context) else {
                index += 1;
                continue;
            };
            let OverdueCall { call, .. } = self.calls.remove(index);
            match end {
                Some(result) => return Poll::Ready(EndedCall { call, result }),
                None => log::debug!("discovery: call {} is closed without a response", call.number),
            }
        }
        Poll::Pending
    }
}
