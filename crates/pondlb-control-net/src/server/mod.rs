//! A control server: the origin, or a replica server that follows it.

mod commit;
mod connection;
mod follower_requests;
mod followers;
mod request;
mod response_cache;
mod state;
#[cfg(test)]
mod tests;
mod token_bucket;

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinSet};
use tokio::time::sleep;

use crate::client::{self, FollowerConfig, UpdateDelivery, follow};
use crate::options::{Role, ServerOptions};
use crate::validation::validate_json_shape;
use connection::{refuse_connection, serve_commit_client, serve_follower};
use state::ServerState;

/// Connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How long to wait when no connection can be accepted, against spinning while descriptors are short.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Connections of those who commit: each may hold the longest body.
const MAX_COMMIT_CONNECTIONS: usize = 4;
/// How many may be told at once that there is no place for them; others are closed without a word.
const MAX_REFUSAL_TASKS: usize = 16;

/// A control server that listens.
pub struct Server {
    state: Rc<ServerState>,
    follower: Option<(FollowerConfig, Rc<client::FollowerStatus>)>,
    follower_listener: TcpListener,
    commit_listener: Option<TcpListener>,
}

/// Listens and serves without end.
///
/// # Errors
/// Where it can't listen, or the initial records are refused.
pub async fn serve(options: ServerOptions) -> io::Result<()> {
    Server::bind(options)?.run().await;
    Ok(())
}

impl Server {
    /// Listens; connections are served by [`Server::run`].
    ///
    /// # Errors
    /// Where it can't listen, or the initial records are refused.
    pub fn bind(options: ServerOptions) -> io::Result<Server> {
        let store = options
            .initial_store()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        let listener = bind_listener("listen", options.listen_address)?;
        let committers = match &options.role {
            Role::Origin { commit_address: Some(address), .. } => Some(bind_listener("commit", *address)?),
            _ => None,
        };
        let following = match &options.role {
            Role::Origin { .. } => None,
            Role::Replica { servers: follow, max_hold: hold } => {
                let mut following =
                    FollowerConfig::new(follow.clone(), &options.name, options.follower_number);
                (following.max_hold, following.limits) = (*hold, options.store_limits());
                Some((following, Rc::new(client::FollowerStatus::default())))
            }
        };
        let status = following.as_ref().map(|(_, status)| status.clone());
        let version = store.version();
        log::info!("{} listens on {}: version {version}", options.name, listener.local_addr()?);
        let state = Rc::new(ServerState::new(options, store, status));
        Ok(Server { state, follower: following, follower_listener: listener, commit_listener: committers })
    }

    /// Where followers connect.
    ///
    /// # Errors
    /// As the system tells.
    pub fn listen_address(&self) -> io::Result<SocketAddr> {
        self.follower_listener.local_addr()
    }

    /// Where changes are committed; none at a replica server.
    ///
    /// # Errors
    /// As the system tells.
    pub fn commit_address(&self) -> io::Result<Option<SocketAddr>> {
        self.commit_listener.as_ref().map(TcpListener::local_addr).transpose()
    }

    /// State of its own following; none at the origin.
    pub fn follower_status(&self) -> Option<Rc<client::FollowerStatus>> {
        self.follower.as_ref().map(|(_, status)| status.clone())
    }

    /// Serves without end; dropping it ends all connections.
    pub async fn run(self) {
        let Server { state, follower: following, follower_listener: listener, commit_listener: committers } =
            self;
        let followers = accept_connections(&listener, state.options().max_follower_connections, |stream| {
            serve_follower(state.clone(), stream)
        });
        let committers = async {
            match &committers {
                Some(listener) => {
                    accept_connections(listener, MAX_COMMIT_CONNECTIONS, |stream| {
                        serve_commit_client(state.clone(), stream)
                    })
                    .await
                }
                None => pending().await,
            }
        };
        let replication = async {
            match following {
                Some((following, status)) => replicate(state.clone(), following, status).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = followers => {}
            () = committers => {}
            () = replication => {}
        }
    }
}

/// Follows other servers and feeds the store with what is verified.
async fn replicate(state: Rc<ServerState>, following: FollowerConfig, status: Rc<client::FollowerStatus>) {
    let (deliver, mut delivered) = mpsc::unbounded_channel();
    let feed = async {
        while let Some(UpdateDelivery { update, applied }) = delivered.recv().await {
            state.apply_update(&update);
            log::debug!("version {} with {} changes", update.version, update.changes.len());
            let _ended = applied.send(());
        }
    };
    tokio::select! {
        () = follow(following, validate_json_shape, deliver, status) => {}
        () = feed => {}
    }
}

/// Accepts connections without end, and serves so many at once.
async fn accept_connections<F>(listener: &TcpListener, most: usize, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let (mut served, mut turned_away) = (JoinSet::new(), JoinSet::new());
    loop {
        tokio::select! {
            Some(ended) = served.join_next(), if !served.is_empty() => log_task_failure(ended),
            Some(ended) = turned_away.join_next(), if !turned_away.is_empty() => log_task_failure(ended),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if served.len() < most => drop(served.spawn_local(serve(stream))),
                Ok((stream, _)) if turned_away.len() < MAX_REFUSAL_TASKS => {
                    turned_away.spawn_local(refuse_connection(stream));
                }
                Ok(_) => {}
                // Out of descriptors, or the other side has gone again: neither is a reason to end or to spin.
                Err(error) => {
                    log::warn!("a connection can't be accepted: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

fn log_task_failure(ended: Result<(), JoinError>) {
    if let Err(error) = ended {
        log::error!("a connection has failed: {error}");
    }
}

fn bind_listener(key: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|error| io::Error::new(error.kind(), format!("{key}: {address}: {error}")))
}
