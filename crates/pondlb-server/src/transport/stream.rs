use std::io;
use std::mem::MaybeUninit;

use pondlb_http::MessageReader;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Reads what has come, once something has; 0 when the other side has ended.
pub async fn read(stream: &TcpStream, room: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(room) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

/// The same for the reader of a connection.
pub async fn feed(stream: &TcpStream, reader: &mut MessageReader) -> io::Result<usize> {
    let count = read(stream, reader.spare_capacity_mut()).await?;
    reader.mark_filled(count);
    Ok(count)
}

pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Returns when the other side has ended or broken the connection, though nothing is read of it any more.
pub async fn closed(stream: &TcpStream) {
    // Of all interests this one alone waits for nothing but urgent bytes, which nobody sends, and the end.
    while stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        yield_now().await;
    }
}

/// What the kernel holds right now, asked past the runtime, which may not have heard of it yet.
#[derive(PartialEq)]
pub enum Waiting {
    Nothing,
    Bytes,
    /// The other side has ended or broken the connection.
    End,
}

pub fn waiting(stream: &TcpStream) -> Waiting {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit(); 1]) {
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => Waiting::Nothing,
        Ok(1..) => Waiting::Bytes,
        Ok(0) | Err(_) => Waiting::End,
    }
}
