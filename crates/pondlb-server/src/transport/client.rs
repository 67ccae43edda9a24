//! A client's connection: reads requests, hands them to the exchange and writes the answers.

use std::cell::{Cell, RefCell};
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use pondlb::{RequestId, TenthMillis};
use pondlb_http::MessageError;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::connection_table::{ConnectionTable, EvictionGuard, Place};
use super::phase::Phase;
use super::stream::{Waiting, closed, feed, read, waiting, write_all};
use crate::protocol::answer::Answer;
use crate::protocol::client::{
    CONTINUE_RESPONSE, ClassIndexes, ClientRequest, RequestKind, RequestReader, encode_answer,
    encode_error_response, encode_health_response, encode_timeout_response,
};
use crate::routing::RouterEvent;

/// A connection is closed after so long without a request, and sooner if there never was one: hundreds that
/// say nothing would take all the places.
const IDLE: Duration = Duration::from_secs(60);
const NEVER_ASKED: Duration = Duration::from_secs(2);
/// A request must be whole so long after its first byte, or slow clients pin memory.
const SLOWEST: Duration = Duration::from_millis(2500);
/// An answer must be taken within this, for the same reason.
const SLOWEST_ANSWER: Duration = Duration::from_secs(10);
/// How long a closed connection is read on, since unread bytes would reset it and take the answer with them.
const LINGER: Duration = Duration::from_millis(200);
/// And how far: reading all of a huge body that is refused would take the core from the others.
const MOST_LINGERED: usize = 512 * 1024;
/// The same for what is sent ahead of an answer, beyond what is kept.
const MOST_THROWN_AWAY: usize = 1024 * 1024;

/// What all client connections share.
pub struct Front {
    pub connections: Rc<ConnectionTable>,
    pub classes: RefCell<ClassIndexes>,
    pub cool_down: Cell<Option<TenthMillis>>,
    pub notes: mpsc::UnboundedSender<RouterEvent>,
    pub phase: watch::Receiver<Phase>,
}

enum Next {
    Asked(ClientRequest),
    Fault(MessageError),
    TooSlow,
    Overloaded,
    /// The balancer ends the connection, on which nothing is owed.
    Ends,
    Over,
}

impl Front {
    /// Requests that are read from now on may name these classes, or no longer.
    pub fn change_classes(&self, changes: Vec<(String, Option<u32>)>) {
        let mut classes = self.classes.borrow_mut();
        for (name, number) in changes {
            match number {
                Some(number) => classes.insert(name, number),
                None => classes.remove(&name),
            };
        }
    }

    pub async fn serve(self: Rc<Self>, stream: TcpStream, place: Place) {
        let _unset = stream.set_nodelay(true);
        let mut side = RequestReader::new();
        let mut asked_before = false;
        loop {
            let next = self.next(&stream, &mut side, &place, asked_before).await;
            asked_before = true;
            let (bytes, last) = match next {
                Next::Asked(asked) => match self.answer(&stream, &mut side, asked).await {
                    Some(answered) => answered,
                    None => return,
                },
                Next::Fault(fault) => {
                    log::debug!("a request is refused: {fault}");
                    (encode_error_response(fault), true)
                }
                Next::TooSlow => (encode_timeout_response(), true),
                Next::Overloaded => {
                    (encode_answer(&Answer::Rejected { retry_after: self.cool_down.get() }, true), true)
                }
                Next::Ends => return linger(&stream, place).await,
                Next::Over => return,
            };
            let written = timeout(SLOWEST_ANSWER, write_all(&stream, &bytes)).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
            if last {
                return linger(&stream, place).await;
            }
        }
    }

    async fn next(
        &self,
        stream: &TcpStream,
        side: &mut RequestReader,
        place: &Place,
        asked_before: bool,
    ) -> Next {
        let mut phase = self.phase.clone();
        let mut slow = None;
        loop {
            match side.next_request(&self.classes.borrow()) {
                Ok(Some(_)) if self.connections.turns_away() => return Next::Overloaded,
                Ok(Some(asked)) if !asked.is_health_check() && place.is_excess() => return Next::Overloaded,
                Ok(Some(asked)) => return Next::Asked(asked),
                Ok(None) => {}
                Err(fault) => return Next::Fault(fault),
            }
            // Before its body is read: hundreds of them let in at once would cost more memory than there is.
            if !side.is_idle() && (place.is_excess() || self.connections.turns_away()) {
                return Next::Overloaded;
            }
            if side.take_expect_continue() && write_all(stream, CONTINUE_RESPONSE).await.is_err() {
                return Next::Over;
            }
            let count = if side.is_idle() {
                let idle = if asked_before { place.idle() } else { place.fresh() };
                let most = if asked_before { IDLE } else { NEVER_ASKED };
                tokio::select! {
                    biased;
                    count = feed(stream, side.message_reader()) => count,
                    _ = closing(&mut phase, &idle, most) => {
                        // What has come meanwhile is served; the client would else have to send it again.
                        match waiting(stream) {
                            Waiting::Bytes => {}
                            Waiting::Nothing => return Next::Ends,
                            Waiting::End => return Next::Over,
                        }
                        // The runtime has not heard of them: without a turn it would never.
                        yield_now().await;
                        continue;
                    }
                }
            } else {
                let (until, slow) = slow.get_or_insert_with(|| (Instant::now() + SLOWEST, place.slow()));
                tokio::select! {
                    biased;
                    count = feed(stream, side.message_reader()) => count,
                    () = slow.evicted() => return Next::TooSlow,
                    () = sleep_until(*until) => return Next::TooSlow,
                }
            };
            if !matches!(count, Ok(1..)) {
                return Next::Over;
            }
        }
    }

    /// The answer and whether it is the last on this connection; None when the client has left.
    async fn answer(
        &self,
        stream: &TcpStream,
        side: &mut RequestReader,
        asked: ClientRequest,
    ) -> Option<(Vec<u8>, bool)> {
        let overrun = Cell::new(false);
        let last = |asked_last| asked_last || overrun.get() || *self.phase.borrow() >= Phase::Closing;
        let (arrival, message) = match asked.kind {
            RequestKind::HealthCheck => {
                let ready = *self.phase.borrow() == Phase::Serving;
                let last = last(asked.is_last);
                return Some((encode_health_response(ready, last), last));
            }
            RequestKind::Forward { arrival, message } => (arrival, message),
        };
        let request = arrival.request.clone();
        let (answer, mut answered) = oneshot::channel();
        self.notes.send(RouterEvent::RequestArrived { arrival, message, answer_sender: answer }).ok()?;
        tokio::select! {
            biased;
            answer = &mut answered => {
                let answer = answer.ok()?;
                let last = last(asked.is_last) || answer == Answer::DuplicateId;
                Some((encode_answer(&answer, last), last))
            }
            () = leaves(stream, side, &overrun) => {
                self.left(request);
                None
            }
        }
    }

    fn left(&self, request: RequestId) {
        // The exchange outlives every connection but at the very end, when nothing is owed.
        let _ended = self.notes.send(RouterEvent::ClientDisconnected { request });
    }
}

async fn closing(phase: &mut watch::Receiver<Phase>, idle: &EvictionGuard<'_>, most: Duration) {
    tokio::select! {
        _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {}
        () = idle.evicted() => {}
        () = sleep(most) => {}
    }
}

/// Returns when the client closes its side. What it sends ahead meanwhile is kept up to the buffer's bound, beyond
/// which nothing ahead is served: it is read on and thrown away, since a close comes behind all that was sent.
async fn leaves(stream: &TcpStream, side: &mut RequestReader, overrun: &Cell<bool>) {
    while !side.message_reader().spare_capacity_mut().is_empty() {
        if !matches!(feed(stream, side.message_reader()).await, Ok(1..)) {
            return;
        }
    }
    overrun.set(true);
    if !throw_away(stream, MOST_THROWN_AWAY).await {
        closed(stream).await;
    }
}

/// Reads to the end of what the other side sends, which is true, or so much of it.
async fn throw_away(stream: &TcpStream, most: usize) -> bool {
    let (mut rest, mut left) = (vec![0; 16 * 1024], most);
    while let Ok(count @ 1..) = read(stream, &mut rest).await {
        left = left.saturating_sub(count);
        if left == 0 {
            return false;
        }
        // Against one that sends without end: the others have their turns.
        yield_now().await;
    }
    true
}

/// Ends its own side, and reads on for a moment what has crossed that: a close over it would reset the connection, and
/// take an answer with it that the client has not read yet. Nothing that is read here is served.
async fn linger(stream: &TcpStream, place: Place) {
    let _place = place.linger();
    if SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    let _late = timeout(LINGER, throw_away(stream, MOST_LINGERED)).await;
}
