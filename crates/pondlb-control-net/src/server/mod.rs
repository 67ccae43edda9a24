//! The control server: the origin of the records, or a replica server that follows it.

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

/// The maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// The delay after a failed accept, so that the loop does not spin while there are no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The maximum number of connections at the commit address. Each may buffer a request of the maximum size.
const MAX_COMMIT_CONNECTIONS: usize = 4;
/// The maximum number of surplus connections that are sent an error response at the same time. Others are closed
/// without a response.
const MAX_REFUSAL_TASKS: usize = 16;

/// A control server whose sockets are bound.
pub struct Server {
    state: Rc<ServerState>,
    /// How a replica server follows other servers; `None` at the origin.
    follower: Option<(FollowerConfig, Rc<client::FollowerStatus>)>,
    follower_listener: TcpListener,
    commit_listener: Option<TcpListener>,
}

/// Binds the sockets and serves. Returns only on an error.
///
/// # Errors
/// If a socket can't be bound, or the initial records are rejected.
pub async fn serve(options: ServerOptions) -> io::Result<()> {
    Server::bind(options)?.run().await;
    Ok(())
}

impl Server {
    /// Binds the sockets. Connections are accepted by [`Server::run`].
    ///
    /// # Errors
    /// If a socket can't be bound, or the initial records are rejected.
    pub fn bind(options: ServerOptions) -> io::Result<Server> {
        let store = options
            .initial_store()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
        let follower_listener = bind_listener("listen", options.listen_address)?;
        let commit_listener = match &options.role {
            Role::Origin { commit_address: Some(address), .. } => Some(bind_listener("commit", *address)?),
            _ => None,
        };
        let follower = match &options.role {
            Role::Origin { .. } => None,
            Role::Replica { servers, max_hold } => {
                let config = FollowerConfig {
                    max_hold: *max_hold,
                    limits: options.store_limits(),
                    ..FollowerConfig::new(servers.clone(), &options.name, options.follower_number)
                };
                Some((config, Rc::new(client::FollowerStatus::default())))
            }
        };
        let follower_status = follower.as_ref().map(|(_, status)| status.clone());
        let version = store.version();
        log::info!("{} listens on {}: version {version}", options.name, follower_listener.local_addr()?);
        let state = Rc::new(ServerState::new(options, store, follower_status));
        Ok(Server { state, follower, follower_listener, commit_listener })
    }

    /// The address to which followers connect.
    ///
    /// # Errors
    /// If the operating system does not return the address of the socket.
    pub fn listen_address(&self) -> io::Result<SocketAddr> {
        self.follower_listener.local_addr()
    }

    /// The address at which changes are committed; `None` at a replica server and at an origin without commits.
    ///
    /// # Errors
    /// If the operating system does not return the address of the socket.
    pub fn commit_address(&self) -> io::Result<Option<SocketAddr>> {
        self.commit_listener.as_ref().map(TcpListener::local_addr).transpose()
    }

    /// The status of a replica server as a follower; `None` at the origin.
    pub fn follower_status(&self) -> Option<Rc<client::FollowerStatus>> {
        self.follower.as_ref().map(|(_, status)| status.clone())
    }

    /// Serves connections. Never returns; dropping the future closes all connections.
    pub async fn run(self) {
        let Server { state, follower, follower_listener, commit_listener } = self;
        let max_followers = state.options().max_follower_connections;
        let serve_followers = accept_connections(&follower_listener, max_followers, |stream| {
            serve_follower(state.clone(), stream)
        });
        let serve_commits = async {
            match &commit_listener {
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
            match follower {
                Some((config, status)) => replicate(state.clone(), config, status).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = serve_followers => {}
            () = serve_commits => {}
            () = replication => {}
        }
    }
}

/// Follows other servers and applies their verified updates to the store.
async fn replicate(state: Rc<ServerState>, config: FollowerConfig, status: Rc<client::FollowerStatus>) {
    let (sender, mut deliveries) = mpsc::unbounded_channel();
    let apply_updates = async {
        while let Some(UpdateDelivery { update, applied }) = deliveries.recv().await {
            state.apply_update(&update);
            log::debug!("applied version {} with {} changes", update.version, update.changes.len());
            // The receiver is gone if the follower has ended.
            let _ = applied.send(());
        }
    };
    tokio::select! {
        () = follow(config, validate_json_shape, sender, status) => {}
        () = apply_updates => {}
    }
}

/// Accepts connections and serves at most `max_connections` at the same time. Never returns.
async fn accept_connections<F>(listener: &TcpListener, max_connections: usize, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    let (mut served, mut refused) = (JoinSet::new(), JoinSet::new());
    loop {
        tokio::select! {
            Some(result) = served.join_next(), if !served.is_empty() => log_task_failure(result),
            Some(result) = refused.join_next(), if !refused.is_empty() => log_task_failure(result),
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if served.len() < max_connections => drop(served.spawn_local(serve(stream))),
                Ok((stream, _)) if refused.len() < MAX_REFUSAL_TASKS => {
                    refused.spawn_local(refuse_connection(stream));
                }
                Ok(_) => {}
                // There are no free file descriptors, or the peer has closed the connection already.
                Err(error) => {
                    log::warn!("can't accept a connection: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
}

/// Logs the panic of a connection's task.
fn log_task_failure(result: Result<(), JoinError>) {
    if let Err(error) = result {
        log::error!("the task of a connection failed: {error}");
    }
}

/// Binds a listening socket. Errors name the key of the options file that holds the address.
fn bind_listener(key: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|error| io::Error::new(error.kind(), format!("{key}: {address}: {error}")))
}
