//! One call to discovery and its answer.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::fault::Fault;
use crate::protocol::discovery::{ChangesQuery, ListError, ListReader, UpstreamList, encode_list_request};
use crate::transport::stream::{Waiting, feed, waiting, write_all};

/// An agent that is back must be reached again at once, and a lost handshake is repeated only after a second.
const CONNECT: Duration = Duration::from_millis(300);
/// A kept connection that breaks sooner than this was closed before the call came.
const CLOSED_BEFORE: Duration = Duration::from_millis(100);

/// What a call asks for: the whole list, or what is newer than a version, for which discovery may wait so long.
pub type Newer = Option<(u64, Duration)>;

/// Where discovery is, and the connection that is kept for the next call.
pub struct Line {
    pub address: SocketAddr,
    kept: Option<TcpStream>,
    /// The longest list that is taken, in bytes as it is sent.
    longest_list: usize,
    /// Who is refused only after so long was not refused for others' sake.
    row: Duration,
}

impl Line {
    pub fn new(address: SocketAddr, longest_list: usize, row: Duration) -> Self {
        Line { address, kept: None, longest_list, row }
    }

    /// Gives up what is kept.
    pub fn close(&mut self) {
        self.kept = None;
    }

    /// Takes the connection, so that a call that is given up closes it.
    pub async fn exchange(&mut self, newer: Newer) -> Result<UpstreamList, Fault> {
        let called = Instant::now();
        let call = encode_list_request(
            self.address,
            newer.map(|(from_version, hold)| ChangesQuery { from_version, hold_ms: hold.as_millis() }),
        );
        if let Some(kept) = self.kept.take().filter(|kept| waiting(kept) == Waiting::Nothing) {
            match self.converse(kept, &call).await {
                // Closed as the call came: that is nobody's refusal, and a call may always be made again.
                Err(Fault::Broken(_)) if called.elapsed() < CLOSED_BEFORE => {}
                done => return done,
            }
        }
        let stream = match timeout(CONNECT, TcpStream::connect(self.address)).await {
            Ok(stream) => stream.map_err(|error| Fault::of_connect(&error))?,
            Err(_) => return Err(Fault::Unconnected),
        };
        self.converse(stream, &call).await
    }

    async fn converse(&mut self, stream: TcpStream, call: &[u8]) -> Result<UpstreamList, Fault> {
        let called = Instant::now();
        write_all(&stream, call).await.map_err(|error| Fault::of_break("the call", &error))?;
        let mut side = ListReader::new(self.longest_list);
        loop {
            let read = feed(&stream, side.message_reader()).await;
            let count = read.map_err(|error| Fault::of_break("the answer", &error))?;
            side.count_received_bytes(count);
            if count == 0 && side.is_idle() {
                return Err(Fault::Broken("the call is not answered".into()));
            }
            match side.next_list(count == 0).map_err(|why| self.fault(why, called))? {
                Some(listed) => {
                    self.kept = listed.keep_alive.then_some(stream);
                    return Ok(listed.list);
                }
                None if count == 0 => return Err(Fault::Refused("the answer is cut short".into())),
                None => {}
            }
        }
    }

    fn fault(&self, why: ListError, called: Instant) -> Fault {
        match why {
            // Who has waited so long was not turned away for the others' sake: nobody is there.
            ListError::Status(line) if called.elapsed() > self.row * 2 / 3 => Fault::Absent(line),
            ListError::Status(why) | ListError::Invalid(why) => Fault::Refused(why),
            ListError::TooLong { size_bytes: size, limit_bytes: limit } => Fault::TooLong { size, limit },
        }
    }
}
