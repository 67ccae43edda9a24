//! Clients: they follow a plan drawn ahead, whatever becomes of the answers (an open loop).

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout};

use crate::balancers::is_ready;
use crate::fleet::Recorder;
use crate::http::{HttpConnection, Message};
use crate::ledger::ClientRequest;
use crate::scenario::{Effect, PlannedRequest, Scenario};

/// A client hangs on so long past the deadline, to see what still comes.
const BEYOND: Duration = Duration::from_millis(500);
/// EMFILE, of this process, not of the balancer it speaks to.
const NO_DESCRIPTOR: i32 = 24;
const CONNECT: Duration = Duration::from_millis(500);
/// How often clients check a balancer's health: one that is told to end serves for longer than that.
const CHECK_EVERY: Duration = Duration::from_millis(300);
/// How often the clock is looked at: a loop late with its own ticks is late with the fleet's work too.
const TICK: u64 = 10_000;

/// One balancer as clients see it: its address, the connections they keep to it, how often it was killed.
pub struct Endpoint {
    pub address: SocketAddr,
    kills: Cell<u32>,
    /// The last check of its health was good.
    is_healthy: Cell<bool>,
    idle: RefCell<Vec<Connection>>,
}

/// A connection to a balancer.
struct Connection {
    wire: HttpConnection,
    /// How often the balancer had been killed when it was made: another count means that its process is gone.
    kills: u32,
}

impl Endpoint {
    pub fn new(address: SocketAddr) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            address,
            kills: Cell::new(0),
            is_healthy: Cell::new(true),
            idle: RefCell::default(),
        })
    }

    /// A request during which the count changes may have been lost with the process.
    pub fn count_kill(&self) {
        self.kills.set(self.kills.get() + 1);
    }

    /// Checks its health again and again, as clients do that choose among balancers. Never returns.
    async fn check_health(&self) {
        loop {
            sleep(CHECK_EVERY).await;
            let is_healthy = matches!(timeout(CONNECT, is_ready(self.address)).await, Ok(Ok(true)));
            if !is_healthy {
                // Nothing more is sent on them, and the balancer need not wait for that.
                self.idle.borrow_mut().clear();
            }
            self.is_healthy.set(is_healthy);
        }
    }
}

/// What a client does where its balancer takes no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failover {
    /// Leaves it at that.
    Never,
    /// Goes to the next balancer: where the last check of health was bad, where no connection comes up, and where a new one
    /// is closed without an answer to a request that may be repeated.
    NextBalancer,
}

impl Failover {
    /// Which doors to try in turn, the planned one first.
    fn candidates(self, planned: usize, doors: &[Rc<Endpoint>]) -> Vec<usize> {
        if self == Failover::Never {
            return vec![planned];
        }
        let mut candidates: Vec<usize> =
            (0..doors.len()).map(|step| (planned + step) % doors.len()).collect();
        // Stable: with no healthy one at all they are tried in this order too.
        candidates.sort_by_key(|door| !doors[*door].is_healthy.get());
        candidates
    }
}

/// One request and what its client is.
struct Client<'a> {
    scenario: &'a Scenario,
    planned: &'a PlannedRequest,
    book: &'a Recorder,
    /// Whether another balancer could take it.
    failover: Failover,
}

/// What became of a request at one balancer.
enum Attempt {
    /// Answered, or sent with nothing to be done about it.
    Final,
    /// Another balancer may be asked.
    NotTaken,
}

/// Sends all that is planned, counted from `from`, and returns once the last request has had its time.
pub async fn send_planned(
    scenario: &Rc<Scenario>,
    plan: Vec<PlannedRequest>,
    doors: &[Rc<Endpoint>],
    failover: Failover,
    book: &Rc<Recorder>,
    from: u64,
) {
    let mut checks = JoinSet::new();
    if failover == Failover::NextBalancer {
        for door in doors {
            let door = door.clone();
            checks.spawn_local(async move { door.check_health().await });
        }
    }
    let doors: Rc<[Rc<Endpoint>]> = doors.into();
    let mut open: Vec<JoinHandle<()>> = Vec::with_capacity(plan.len());
    let ticks = spawn_local(record_timer_lateness(book.clone()));
    for planned in plan {
        let intended = from + planned.at_us;
        sleep_until(book.instant_at(intended)).await;
        book.ledgers.borrow_mut().lateness_us.push(book.now_us().saturating_sub(intended));
        let (scenario, book) = (scenario.clone(), book.clone());
        let doors = doors.clone();
        open.push(spawn_local(async move {
            let client = Client { scenario: &scenario, planned: &planned, book: &book, failover };
            let asked = client.ask(&doors, intended).await;
            book.ledgers.borrow_mut().requests.push(asked);
        }));
    }
    for task in open {
        let _ended = task.await;
    }
    ticks.abort();
}

pub(crate) async fn record_timer_lateness(book: Rc<Recorder>) {
    let mut next = book.now_us();
    loop {
        next += TICK;
        sleep_until(book.instant_at(next)).await;
        let late = book.now_us().saturating_sub(next);
        book.ledgers.borrow_mut().lateness_us.push(late);
        next += late / TICK * TICK;
    }
}

impl Client<'_> {
    /// Asks one balancer after the other until one has taken the request.
    async fn ask(&self, doors: &[Rc<Endpoint>], intended: u64) -> ClientRequest {
        let mut asked = ClientRequest {
            id: self.planned.id.clone(),
            class: self.planned.class,
            balancer: self.planned.balancer,
            intended_us: intended,
            ..ClientRequest::default()
        };
        for candidate in self.failover.candidates(self.planned.balancer as usize, doors) {
            (asked.balancer, asked.sent_us) = (candidate as u32, None);
            if let Attempt::Final = self.ask_at(&doors[candidate], &mut asked).await {
                break;
            }
        }
        asked
    }

    async fn ask_at(&self, door: &Endpoint, asked: &mut ClientRequest) -> Attempt {
        let class = &self.scenario.classes[self.planned.class];
        let text = request(self.planned, class.effect, &class.name, class.deadline_ms);
        let most = Duration::from_millis(class.deadline_ms) + BEYOND;
        // A balancer may close a connection between requests: what crosses that is sent once more, on a new one.
        for kept in [true, false] {
            let Some(mut connection) = connection(door, self.book, kept).await else { continue };
            if connection.wire.write(&text).await.is_err() {
                continue;
            }
            asked.sent_us = Some(self.book.now_us());
            let answer = timeout(most, connection.wire.read_response()).await;
            asked.balancer_killed = door.kills.get() != connection.kills;
            match answer {
                Ok(Ok(Some(answer))) => {
                    note(asked, answer, self.book.now_us());
                    // A second answer may come right behind the first.
                    tokio::task::yield_now().await;
                    asked.answer_count = 1 + u32::from(connection.wire.has_unread_data());
                    door.idle.borrow_mut().push(connection);
                }
                // Not where it was killed: it may have taken the request, and another would be the client's own
                // repeat of an order.
                Ok(Ok(None)) if kept && !asked.balancer_killed => {
                    asked.sent_us = None;
                    continue;
                }
                Ok(_) if self.failover == Failover::NextBalancer && class.effect == Effect::Idempotent => {
                    return Attempt::NotTaken;
                }
                _ => {}
            }
            return Attempt::Final;
        }
        Attempt::NotTaken
    }
}

fn note(asked: &mut ClientRequest, answer: Message, now: u64) {
    (asked.answered_us, asked.status, asked.body) = (Some(now), answer.status, answer.body);
}

/// One kept that nothing has come on, or a new one.
async fn connection(door: &Endpoint, book: &Recorder, kept: bool) -> Option<Connection> {
    if kept {
        loop {
            let mut connection = door.idle.borrow_mut().pop()?;
            if !connection.wire.has_unread_data() {
                return Some(connection);
            }
        }
    }
    let kills = door.kills.get();
    let stream = timeout(CONNECT, TcpStream::connect(door.address)).await.ok()?;
    if stream.as_ref().is_err_and(|e| e.raw_os_error() == Some(NO_DESCRIPTOR)) {
        book.ledgers.borrow_mut().descriptor_shortages += 1;
    }
    let stream = stream.ok()?;
    Some(Connection { wire: HttpConnection::new(stream), kills })
}

fn request(planned: &PlannedRequest, effect: Effect, class: &str, deadline_ms: u64) -> String {
    let head = format!(
        "Host: lab\r\nReq-Id: {}\r\nReq-Kind: {class}\r\nReq-Deadline: {deadline_ms}m\r\nReq-Cost: {}\r\n",
        planned.id, planned.work_us
    );
    match effect {
        Effect::Idempotent => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        Effect::Keyed | Effect::NonIdempotent => {
            format!("POST /api HTTP/1.1\r\n{head}Content-Length: 5\r\n\r\norder")
        }
    }
}

#[cfg(test)]
mod tests;
