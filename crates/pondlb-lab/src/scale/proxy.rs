//! A TCP proxy on loopback that can be cut: what is sent then is neither refused nor delivered.

use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

const BUFFER_BYTES: usize = 16 * 1024;

/// A proxy before one server, for as long as it is kept.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens on a free port, and forwards to the server.
    ///
    /// # Errors
    /// Where no port can be listened on.
    pub async fn start(listen: IpAddr, server: SocketAddr) -> io::Result<Proxy> {
        let listener = TcpListener::bind((listen, 0)).await?;
        let address = listener.local_addr()?;
        let is_cut = watch::Sender::new(false);
        let task = spawn_local(accept(listener, server, is_cut.clone()));
        Ok(Proxy { address, is_cut, task })
    }

    /// From now on nothing passes, in silence.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// From now on all passes, what was held included.
    pub fn join(&self) {
        self.is_cut.send_replace(false);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, is_cut: watch::Sender<bool>) {
    while let Ok((client, _)) = listener.accept().await {
        let cut = is_cut.subscribe();
        spawn_local(async move {
            // A connection that fails is closed on both sides, which is all that there is to tell.
            let _closed = forward(client, server, cut).await;
        });
    }
}

async fn forward(client: TcpStream, server: SocketAddr, mut cut: watch::Receiver<bool>) -> io::Result<()> {
    joined(&mut cut).await?;
    let server = TcpStream::connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        ended = pass(client_read, server_write, cut.clone()) => ended,
        ended = pass(server_read, client_write, cut) => ended,
    }
}

/// Until no cut is on.
async fn joined(cut: &mut watch::Receiver<bool>) -> io::Result<()> {
    cut.wait_for(|is_cut| !is_cut).await.map_err(io::Error::other)?;
    Ok(())
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut cut: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        joined(&mut cut).await?;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..count]).await?;
    }
}
