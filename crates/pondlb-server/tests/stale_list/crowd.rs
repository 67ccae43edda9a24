//! The queue of a discovery server that has more callers than it answers in time.

use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, Weak};
use std::thread;
use std::time::{Duration, Instant};

use nanorand::{Rng, WyRand};

use crate::MS;

/// A call that has waited for this long fails.
pub const MAX_QUEUE_WAIT: Duration = Duration::from_millis(2000);
/// How often the queue looks for calls while none waits.
const IDLE_INTERVAL: Duration = MS;

/// The balancers that call discovery beside those of a test, and how fast it answers.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// How many other balancers call, each again some time after its call was answered or has failed.
    pub other_callers: u32,
    /// How long discovery works on each call.
    pub time_per_call: Duration,
}

/// A call of a test's balancer that waits for its turn.
struct WaitingCall {
    called_at: Instant,
    turn: Sender<()>,
}

/// One of the other balancers.
#[derive(Clone, Copy)]
enum OtherCaller {
    /// It makes its next call at this time.
    CallsAt(Instant),
    /// Its call waits since this time.
    WaitsSince(Instant),
}

/// The calls that wait, which are answered in turn.
pub struct CallQueue {
    waiting: Mutex<Vec<WaitingCall>>,
}

impl CallQueue {
    /// Starts a queue that works until it is dropped. The other balancers begin to call at once.
    pub fn start(crowd: Crowd) -> Arc<CallQueue> {
        let queue = Arc::new(CallQueue { waiting: Mutex::default() });
        let weak_queue = Arc::downgrade(&queue);
        thread::spawn(move || answer_in_turn(crowd, &weak_queue));
        queue
    }

    /// Waits for a call's turn. Returns false if the call has waited for too long.
    pub fn wait_for_turn(&self) -> bool {
        let (turn, is_due) = channel();
        self.waiting.lock().unwrap().push(WaitingCall { called_at: Instant::now(), turn });
        is_due.recv_timeout(MAX_QUEUE_WAIT).is_ok()
    }
}

/// The wait of another balancer between two of its calls, as the program has it.
fn draw_wait(rng: &mut WyRand) -> Duration {
    Duration::from_millis(rng.generate_range(100..1500))
}

/// Answers one call after the other, the oldest first. A call of the test's balancers is answered only while no other
/// waits, so that the result does not depend on whose turn comes by chance.
fn answer_in_turn(crowd: Crowd, queue: &Weak<CallQueue>) {
    let mut rng = WyRand::new_seed(7);
    let start = Instant::now();
    let mut others: Vec<OtherCaller> =
        (0..crowd.other_callers).map(|_| OtherCaller::CallsAt(start + draw_wait(&mut rng))).collect();
    while let Some(queue) = queue.upgrade() {
        let now = Instant::now();
        others.iter_mut().for_each(|other| update_other_caller(other, now, &mut rng));
        let oldest_other = others
            .iter_mut()
            .filter_map(|other| match *other {
                OtherCaller::WaitsSince(since) => Some((since, other)),
                OtherCaller::CallsAt(_) => None,
            })
            .min_by_key(|(since, _)| *since);
        let mut waiting = queue.waiting.lock().unwrap();
        waiting.retain(|call| now - call.called_at < MAX_QUEUE_WAIT);
        if let Some((_, other)) = oldest_other {
            *other = OtherCaller::CallsAt(now + draw_wait(&mut rng));
        } else if !waiting.is_empty() {
            // The call has failed at this moment if nobody waits for its turn.
            let _ = waiting.remove(0).turn.send(());
        } else {
            drop(waiting);
            thread::sleep(IDLE_INTERVAL);
            continue;
        }
        drop(waiting);
        drop(queue);
        thread::sleep(crowd.time_per_call);
    }
}

/// Makes the call that another balancer has to make by now, or ends one that has waited for too long.
fn update_other_caller(other: &mut OtherCaller, now: Instant, rng: &mut WyRand) {
    match *other {
        OtherCaller::CallsAt(at) if at <= now => *other = OtherCaller::WaitsSince(at),
        OtherCaller::WaitsSince(since) if since + MAX_QUEUE_WAIT <= now => {
            *other = OtherCaller::CallsAt(now + draw_wait(rng));
        }
        _ => {}
    }
}
