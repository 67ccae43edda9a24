use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use super::stream::{feed, write_all};
use crate::protocol::discovery::{DiscoverySide, Roster, write_call};
use crate::routing::Note;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ask {
    Watch(bool),
    Fetch,
    /// Discovery is at another address from now on.
    Move(SocketAddr),
}

/// How long a watch waits for news, and how much longer its answer may take: beyond that what discovery would
/// have told counts as told, and silence may be a dead machine's.
const HOLD: Duration = Duration::from_secs(20);
const ANSWER: Duration = Duration::from_millis(1900);
/// Well under the time after which a watch has lapsed.
const BREATH: Duration = Duration::from_millis(50);
const CONNECT: Duration = Duration::from_secs(1);

/// Asks discovery as the decisions want it asked. It is they who say when to try again after a failure.
pub async fn discover(
    address: SocketAddr,
    version: u64,
    mut asks: mpsc::UnboundedReceiver<Ask>,
    notes: mpsc::UnboundedSender<Note>,
) {
    let mut caller = Caller { address, version: Some(version), kept: None, notes };
    let mut next = asks.recv().await;
    while let Some(ask) = next {
        next = tokio::select! {
            () = caller.carry_out(ask) => asks.recv().await,
            next = called_off(&mut asks) => next,
        };
    }
}

/// What ends the call at hand; other asks are answered by it.
async fn called_off(asks: &mut mpsc::UnboundedReceiver<Ask>) -> Option<Ask> {
    loop {
        let ask = asks.recv().await?;
        if matches!(ask, Ask::Watch(false) | Ask::Move(_)) {
            return Some(ask);
        }
    }
}

struct Caller {
    address: SocketAddr,
    /// The newest that is known; none where the whole list is wanted.
    version: Option<u64>,
    kept: Option<TcpStream>,
    notes: mpsc::UnboundedSender<Note>,
}

impl Caller {
    async fn carry_out(&mut self, ask: Ask) {
        match ask {
            Ask::Watch(true) => self.watch().await,
            Ask::Watch(false) => self.kept = None,
            Ask::Fetch => {
                let listed = self.call(None).await;
                self.tell(listed);
            }
            // Asked at once, for the whole list: the versions of one address need not be those of another,
            // and what the old one has not told by now it never will.
            Ask::Move(address) => {
                (self.address, self.version, self.kept) = (address, None, None);
                self.watch().await;
            }
        }
    }

    /// Calls again after each answer, so that the watch never lapses, until a call fails.
    async fn watch(&mut self) {
        loop {
            let (called, known) = (Instant::now(), self.version);
            let listed = self.call(known).await;
            if !self.tell(listed) {
                return;
            }
            // One that does not hold its answers would else be called without end.
            if self.version == known && called.elapsed() < BREATH {
                sleep(BREATH).await;
            }
        }
    }

    /// False when the call brought nothing.
    fn tell(&mut self, listed: Result<Roster, String>) -> bool {
        let (note, told) = match listed {
            Ok(roster) => {
                self.version = Some(roster.version);
                (Note::Listed(roster), true)
            }
            Err(why) => {
                log::warn!("discovery: {why}");
                (Note::ListLost, false)
            }
        };
        self.notes.send(note).is_ok() && told
    }

    async fn call(&mut self, from: Option<u64>) -> Result<Roster, String> {
        let hold = if from.is_some() { HOLD } else { Duration::ZERO };
        log::debug!("discovery is called: newer than {from:?}");
        match timeout(hold + ANSWER, self.exchange(from)).await {
            Ok(listed) => listed,
            Err(_) => Err("no answer in time".into()),
        }
    }

    /// Takes the connection, so that a call that is given up closes it.
    async fn exchange(&mut self, from: Option<u64>) -> Result<Roster, String> {
        let stream = match self.kept.take() {
            Some(stream) => stream,
            None => match timeout(CONNECT, TcpStream::connect(self.address)).await {
                Ok(stream) => stream.map_err(|e| format!("can't be reached: {e}"))?,
                Err(_) => return Err("can't be reached in time".into()),
            },
        };
        let call = write_call(self.address, from.map(|from| (from, HOLD.as_millis())));
        write_all(&stream, &call).await.map_err(|e| format!("the call breaks: {e}"))?;
        let mut side = DiscoverySide::new();
        loop {
            let count = feed(&stream, side.input()).await.map_err(|e| format!("the answer breaks: {e}"))?;
            match side.next(count == 0)? {
                Some(listed) => {
                    self.kept = listed.keep.then_some(stream);
                    return Ok(listed.roster);
                }
                None if count == 0 => return Err("the answer is cut short".into()),
                None => {}
            }
        }
    }
}
