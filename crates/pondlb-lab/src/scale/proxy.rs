//! A TCP proxy on loopback that can block all traffic to simulate a network partition: while it is blocked, bytes and
//! connections are neither refused nor delivered.

use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

const BUFFER_BYTES: usize = 16 * 1024;

/// A proxy in front of one server. It stops accepting connections when this is dropped.
pub struct Proxy {
    /// The address that it listens on.
    pub address: SocketAddr,
    is_blocked: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens on a free port and forwards connections to the server.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(listen: IpAddr, server: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind((listen, 0)).await?;
        let address = listener.local_addr()?;
        let is_blocked = watch::Sender::new(false);
        let task = spawn_local(accept(listener, server, is_blocked.clone()));
        Ok(Proxy { address, is_blocked, task })
    }

    /// Holds back all bytes and new connections from now on, without closing any connection.
    pub fn block(&self) {
        self.is_blocked.send_replace(true);
    }

    /// Forwards again, including the bytes and connections that were held back.
    pub fn unblock(&self) {
        self.is_blocked.send_replace(false);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, is_blocked: watch::Sender<bool>) {
    while let Ok((client, _)) = listener.accept().await {
        let is_blocked = is_blocked.subscribe();
        spawn_local(async move {
            // An error closes the connection on both sides, which each side notices by itself.
            let _ = forward(client, server, is_blocked).await;
        });
    }
}

async fn forward(
    client: TcpStream,
    server: SocketAddr,
    mut is_blocked: watch::Receiver<bool>,
) -> io::Result<()> {
    wait_until_unblocked(&mut is_blocked).await?;
    let server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        ended = copy_bytes(client_read, server_write, is_blocked.clone()) => ended,
        ended = copy_bytes(server_read, client_write, is_blocked) => ended,
    }
}

async fn wait_until_unblocked(is_blocked: &mut watch::Receiver<bool>) -> io::Result<()> {
    is_blocked.wait_for(|is_blocked| !is_blocked).await.map_err(io::Error::other)?;
    Ok(())
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_blocked: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        wait_until_unblocked(&mut is_blocked).await?;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..count]).await?;
    }
}
