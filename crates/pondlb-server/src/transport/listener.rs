//! Accepts client connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::client::Frontend;
use super::phase::Phase;

/// The pause before the next try when no connection can be accepted. It keeps the loop from spinning while file
/// descriptors are short.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts client connections and serves each in a task of its own, until the program is [`Phase::Closing`].
pub async fn accept_connections(listener: TcpListener, frontend: Rc<Frontend>) {
    let mut phase = frontend.phase.clone();
    loop {
        let connections = &frontend.connections;
        if connections.is_reserve_used_up() {
            if connections.is_over_limit() {
                connections.evict_one_idle();
            }
            tokio::select! {
                _ = connections.slot_freed.notified() => {}
                _ = sleep(ACCEPT_RETRY_DELAY) => {}
            }
            continue;
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let slot = connections.register();
                spawn_local(frontend.clone().serve(stream, slot));
            }
            // The process is out of file descriptors, or the client has already disconnected. The listener goes on
            // after a pause in both cases.
            Err(error) => {
                log::warn!("cannot accept a client connection: {error}");
                connections.evict_one_idle();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
