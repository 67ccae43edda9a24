use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::client::Front;
use super::phase::Phase;

/// How long to wait when no connection can be taken, against spinning while descriptors are short.
const BREATH: Duration = Duration::from_millis(20);

/// Takes connections until the program closes its doors.
pub async fn listen(listener: TcpListener, front: Rc<Front>) {
    let mut phase = front.phase.clone();
    loop {
        let connections = &front.connections;
        if connections.is_full() {
            if connections.is_over() {
                connections.evict_one_idle();
            }
            tokio::select! {
                _ = connections.changed.notified() => {}
                _ = sleep(BREATH) => {}
            }
            continue;
        }
        let taken = tokio::select! {
            biased;
            taken = listener.accept() => taken,
            _ = phase.wait_for(|phase| *phase >= Phase::Closing) => return,
        };
        match taken {
            Ok((stream, _)) => {
                let place = connections.enter();
                spawn_local(front.clone().serve(stream, place));
            }
            // Out of descriptors, or the client has gone again: neither is a reason to end or to spin.
            Err(e) => {
                log::warn!("a connection can't be taken: {e}");
                connections.evict_one_idle();
                sleep(BREATH).await;
            }
        }
    }
}
