//! Clients: they follow a plan drawn ahead, whatever becomes of the answers (an open loop).

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep_until, timeout};

use crate::fleet::Book;
use crate::http::{Message, Wire};
use crate::ledger::Asked;
use crate::scenario::{Effect, Planned, Scenario};

/// A client hangs on so long past the deadline, to see what still comes.
const BEYOND: Duration = Duration::from_millis(500);
/// EMFILE, of this process, not of the balancer it speaks to.
const NO_DESCRIPTOR: i32 = 24;
const CONNECT: Duration = Duration::from_millis(500);
/// How often the clock is looked at: a loop late with its own ticks is late with the fleet's work too.
const TICK: u64 = 10_000;

/// One balancer as clients see it: its address, the connections they keep to it, how often it was killed.
pub struct Door {
    pub address: SocketAddr,
    kills: Cell<u32>,
    idle: RefCell<Vec<Connection>>,
}

/// A connection to a balancer.
struct Connection {
    wire: Wire,
    /// How often the balancer had been killed when it was made: another count means that its process is gone.
    kills: u32,
}

impl Door {
    pub fn new(address: SocketAddr) -> Rc<Door> {
        Rc::new(Door { address, kills: Cell::new(0), idle: RefCell::default() })
    }

    /// A request during which the count changes may have been lost with the process.
    pub fn count_kill(&self) {
        self.kills.set(self.kills.get() + 1);
    }
}

/// Sends all that is planned, counted from `from`, and returns once the last request has had its time.
pub async fn follow(
    scenario: &Rc<Scenario>,
    plan: Vec<Planned>,
    doors: &[Rc<Door>],
    book: &Rc<Book>,
    from: u64,
) {
    let mut open: Vec<JoinHandle<()>> = Vec::with_capacity(plan.len());
    let ticks = spawn_local(tick(book.clone()));
    for planned in plan {
        let intended = from + planned.at_us;
        sleep_until(book.instant(intended)).await;
        book.ledgers.borrow_mut().late.push(book.now().saturating_sub(intended));
        let (scenario, book) = (scenario.clone(), book.clone());
        let door = doors[planned.balancer as usize].clone();
        open.push(spawn_local(async move {
            let asked = ask(&scenario, &planned, &door, &book, intended).await;
            book.ledgers.borrow_mut().asked.push(asked);
        }));
    }
    for task in open {
        let _ended = task.await;
    }
    ticks.abort();
}

pub(crate) async fn tick(book: Rc<Book>) {
    let mut next = book.now();
    loop {
        next += TICK;
        sleep_until(book.instant(next)).await;
        let late = book.now().saturating_sub(next);
        book.ledgers.borrow_mut().late.push(late);
        next += late / TICK * TICK;
    }
}

async fn ask(scenario: &Scenario, planned: &Planned, door: &Door, book: &Book, intended: u64) -> Asked {
    let class = &scenario.classes[planned.class];
    let mut asked = Asked {
        id: planned.id.clone(),
        class: planned.class,
        balancer: planned.balancer,
        intended,
        ..Asked::default()
    };
    let text = request(planned, class.effect, &class.name, class.deadline_ms);
    let most = Duration::from_millis(class.deadline_ms) + BEYOND;
    // A balancer may close a connection between requests: what crosses that is sent once more, on a new one.
    for kept in [true, false] {
        let Some(mut connection) = connection(door, book, kept).await else { continue };
        if connection.wire.write(&text).await.is_err() {
            continue;
        }
        asked.sent = Some(book.now());
        let answer = timeout(most, connection.wire.answer()).await;
        asked.killed = door.kills.get() != connection.kills;
        match answer {
            Ok(Ok(Some(answer))) => {
                note(&mut asked, answer, book.now());
                // A second answer may come right behind the first.
                tokio::task::yield_now().await;
                asked.answers = 1 + u32::from(connection.wire.has_more());
                door.idle.borrow_mut().push(connection);
            }
            // Not where it was killed: it may have taken the request, and another would be the client's own
            // repeat of an order.
            Ok(Ok(None)) if kept && !asked.killed => {
                asked.sent = None;
                continue;
            }
            _ => {}
        }
        break;
    }
    asked
}

fn note(asked: &mut Asked, answer: Message, now: u64) {
    (asked.answered, asked.status, asked.body) = (Some(now), answer.status, answer.body);
}

/// One kept that nothing has come on, or a new one.
async fn connection(door: &Door, book: &Book, kept: bool) -> Option<Connection> {
    if kept {
        loop {
            let mut connection = door.idle.borrow_mut().pop()?;
            if !connection.wire.has_more() {
                return Some(connection);
            }
        }
    }
    let kills = door.kills.get();
    let stream = timeout(CONNECT, TcpStream::connect(door.address)).await.ok()?;
    if stream.as_ref().is_err_and(|e| e.raw_os_error() == Some(NO_DESCRIPTOR)) {
        book.ledgers.borrow_mut().short += 1;
    }
    let stream = stream.ok()?;
    Some(Connection { wire: Wire::new(stream), kills })
}

fn request(planned: &Planned, effect: Effect, class: &str, deadline_ms: u64) -> String {
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
