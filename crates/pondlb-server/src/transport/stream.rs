//! Reading from and writing to TCP connections.

use std::io;
use std::mem::MaybeUninit;

use pondlb_http::MessageReader;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Waits until data can be read and reads as much of it as fits into `buffer`. Returns the number of bytes read, 0 when
/// the peer has closed its side.
///
/// This doesn't wait where data is at hand. A loop over it must let other tasks run, as [`ReadTurn`] does, or a peer that
/// sends without a pause would keep them, the timers and all other connections waiting.
pub async fn read_available(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Like [`read_available`], but reads into the buffer of a message reader.
pub async fn read_into(stream: &TcpStream, reader: &mut MessageReader) -> io::Result<usize> {
    let count = read_available(stream, reader.spare_capacity_mut()).await?;
    reader.mark_filled(count);
    Ok(count)
}

/// After so many reads without a wait a task lets the others run. The largest request takes fewer; where several large ones
/// have arrived whole, one after the other is read, and not a part of each until the memory is used up.
const MAX_READS_PER_TURN: u32 = 64;

/// Counts the reads of a loop, and ends its turn after [`MAX_READS_PER_TURN`].
#[derive(Default)]
pub struct ReadTurn {
    reads: u32,
}

impl ReadTurn {
    /// Called before each further read. Lets the other tasks, the timers and all other connections have their turn if this
    /// one has lasted for long enough.
    pub async fn next_read(&mut self) {
        self.reads += 1;
        if self.reads >= MAX_READS_PER_TURN {
            self.reads = 0;
            yield_now().await;
        }
    }
}

/// Writes all of `bytes`.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// What the kernel has received on a connection and the program has not read yet.
#[derive(PartialEq)]
pub enum ReceiveState {
    /// There is nothing to read, and the connection is open.
    Empty,
    /// There are bytes to read.
    HasData,
    /// The peer has closed or reset the connection.
    Closed,
}

/// Asks the kernel what can be read, without reading it. The runtime's own readiness may lag behind this.
pub fn receive_state(stream: &TcpStream) -> ReceiveState {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]) {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => ReceiveState::Empty,
        Ok(1..) => ReceiveState::HasData,
        Ok(0) | Err(_) => ReceiveState::Closed,
    }
}
