//! The control servers of a run: an origin and its replica servers, as processes.

use std::fmt::Write as _;
use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

use pondlb_control::{CommitRequest, CommitResponse, Digest, DigestsResponse, NewChange, Version};
use serde::Deserialize;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::time::{Instant, sleep, timeout};

use super::proxy::Proxy;
use crate::balancers::Program;
use crate::child_process::command_killed_with_parent;
use crate::http::{HttpConnection, Message};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the connection for commits may be idle before a new one is opened. A server closes a connection after 10 s
/// without a request.
const MAX_COMMIT_CONNECTION_IDLE: Duration = Duration::from_secs(5);
/// The memory limit of a control server, in MB.
const SERVER_MEMORY_MB: u64 = 1024;
/// A rate of snapshot pieces per second that no run reaches. Runs with this rate limit snapshots in the hollow processes,
/// each of which takes only a few at the same time.
pub const UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND: f64 = 100_000.0;
/// The gather time of a control server whose options do not set it, in milliseconds.
const DEFAULT_GATHER_MS: u64 = 200;
const OK: u16 = 200;

/// The state of a control server, as it answers a call for its digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerState {
    /// The version of its records.
    pub version: Version,
    /// The digest of all of its records.
    pub digest: Digest,
}

/// The state of the control server of this name at the end of a run.
#[derive(Clone, Debug)]
pub struct FinalServerState {
    /// The name of the server.
    pub name: String,
    /// The state; `None` if the server did not answer.
    pub state: Option<ServerState>,
}

/// An entry of a control server's table of followers.
#[derive(Clone, Debug, Deserialize)]
pub struct Follower {
    /// The name of the follower.
    pub name: String,
    /// The version that it has in force, according to its last call.
    pub version: Version,
    /// Whether the digest in its last call was the right one for that version.
    #[serde(default)]
    pub in_sync: bool,
}

/// The answer to a call for the followers of a server.
#[derive(Deserialize)]
struct Followers {
    followers: Vec<Follower>,
}

/// A replica server: its name, address and region.
#[derive(Clone, Debug)]
pub struct ReplicaServer {
    /// The name of the server in the report.
    pub name: String,
    /// The address that balancers call.
    pub address: SocketAddr,
    /// The number of its region.
    pub region: usize,
}

struct ServerProcess {
    name: String,
    address: SocketAddr,
    options_file: PathBuf,
    child: Option<Child>,
}

/// The number of control servers of a run, their spread over regions and their options.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// The IP address that all servers listen on.
    pub listen: IpAddr,
    /// The number of servers besides the origin.
    pub replica_servers: u32,
    /// The number of regions that the replica servers are spread over.
    pub regions: u32,
    /// How long a server gathers changes between two answers to the same caller, in milliseconds.
    pub gather_ms: u64,
    /// The number of snapshot pieces that a server sends per second at most.
    pub snapshot_pieces_per_second: f64,
}

impl Layout {
    /// Servers on one loopback address in one region, with the default gather time and with unbounded snapshots.
    pub fn local(replica_servers: u32) -> Layout {
        Layout {
            listen: IpAddr::V4(Ipv4Addr::LOCALHOST),
            replica_servers,
            regions: 1,
            gather_ms: DEFAULT_GATHER_MS,
            snapshot_pieces_per_second: UNBOUNDED_SNAPSHOT_PIECES_PER_SECOND,
        }
    }
}

/// The processes of an origin and its replica servers. They are killed when this is dropped.
pub struct ControlServers {
    program: Program,
    /// Holds the initial records, and an options file and a log file for each server.
    folder: TempDir,
    /// The number of regions.
    regions: usize,
    /// The origin, followed by the replica servers.
    servers: Vec<ServerProcess>,
    /// The address on which the origin accepts commits.
    commit_address: SocketAddr,
    /// The connection of the last commit, and when the answer was received.
    commit_connection: Option<(HttpConnection, Instant)>,
    /// The proxy through which the replica servers outside the first region reach the origin.
    origin_proxy: Proxy,
}

impl ControlServers {
    /// Starts all servers with these records and waits until each has them.
    ///
    /// # Errors
    /// The program is missing, or a server exits or is not ready in time.
    pub async fn start(program: &Program, layout: &Layout, initial: Vec<NewChange>) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let count = layout.replica_servers as usize + 1;
        let mut addresses = free_addresses(layout.listen, count + 1)?;
        let commit_address = addresses.pop().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let origin_proxy = Proxy::start(layout.listen, addresses[0]).await?;
        let initial_file = folder.path().join("initial.json");
        std::fs::write(&initial_file, serde_json::to_vec(&CommitRequest { changes: initial })?)?;
        let mut servers = ControlServers {
            program: program.clone(),
            folder,
            regions: layout.regions as usize,
            servers: Vec::new(),
            commit_address,
            commit_connection: None,
            origin_proxy,
        };
        for (number, address) in addresses.iter().enumerate() {
            let name = if number == 0 { "origin".into() } else { format!("replica-{}", number - 1) };
            let options_file = servers.folder.path().join(format!("{name}.toml"));
            let role = servers.role_options(number, addresses[0], &initial_file);
            std::fs::write(&options_file, server_options(&name, number, *address, layout, &role))?;
            servers.servers.push(ServerProcess { name, address: *address, options_file, child: None });
        }
        for number in 0..count {
            servers.spawn(number)?;
            if number == 0 {
                // A replica server that can't reach the origin at its start would wait before it tries again.
                servers.wait_until_ready(0, Version::default()).await?;
            }
        }
        let version = servers.state(0).await?.version;
        for number in 1..count {
            servers.wait_until_ready(number, version).await?;
        }
        Ok(servers)
    }

    /// The options that differ between the origin and its replica servers.
    fn role_options(&self, number: usize, origin: SocketAddr, initial: &Path) -> String {
        if number == 0 {
            return format!("commit = \"{}\"\nepoch = 1\ninitial = {initial:?}\n", self.commit_address);
        }
        let origin = if self.region(number - 1) == 0 { origin } else { self.origin_proxy.address };
        format!("follow = [\"{origin}\"]\n")
    }

    /// The region of a replica server, by its number without the origin.
    fn region(&self, replica: usize) -> usize {
        replica % self.regions
    }

    fn spawn(&mut self, number: usize) -> io::Result<()> {
        let log_file = self.folder.path().join(format!("{}.log", self.servers[number].name));
        let log = File::options().create(true).append(true).open(log_file)?;
        let child = command_killed_with_parent(&self.program.path)?
            .args(&self.program.arguments)
            .arg(&self.servers[number].options_file)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.servers[number].child = Some(child);
        Ok(())
    }

    /// Waits until the server has this version or a later one.
    async fn wait_until_ready(&mut self, number: usize, min_version: Version) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            let name = self.servers[number].name.clone();
            if let Some(child) = &mut self.servers[number].child
                && let Some(status) = child.try_wait()?
            {
                let log = std::fs::read_to_string(self.folder.path().join(format!("{name}.log")));
                let log = log.unwrap_or_default();
                let last_line = log.lines().last().unwrap_or_default();
                let message = format!("{name} ended before it served, {status}: {last_line}");
                return Err(io::Error::other(message));
            }
            let state = self.state(number).await;
            if state.is_ok_and(|state| state.version.epoch > 0 && state.version >= min_version) {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
        let name = &self.servers[number].name;
        Err(io::Error::other(format!("{name} was not ready within {READY_TIMEOUT:?}")))
    }

    /// The address on which the origin serves followers.
    pub fn origin_address(&self) -> SocketAddr {
        self.servers[0].address
    }

    /// The addresses of the replica servers of each region, for the configuration of balancers.
    pub fn replica_addresses_by_region(&self) -> Vec<Vec<SocketAddr>> {
        let mut regions = vec![Vec::new(); self.regions];
        for (replica, server) in self.servers.iter().skip(1).enumerate() {
            regions[self.region(replica)].push(server.address);
        }
        regions
    }

    /// Commits changes at the origin and returns the version of the last one.
    ///
    /// # Errors
    /// The origin refuses the changes, or gives no answer in time.
    pub async fn commit(&mut self, changes: Vec<NewChange>) -> io::Result<Version> {
        let body = serde_json::to_string(&CommitRequest { changes })?;
        let request = format!(
            "POST /control/commit HTTP/1.1\r\nHost: lab\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let reusable = self
            .commit_connection
            .take()
            .filter(|(_, last_used)| last_used.elapsed() < MAX_COMMIT_CONNECTION_IDLE);
        let mut connection = match reusable {
            Some((connection, _)) => connection,
            None => HttpConnection::new(TcpStream::connect(self.commit_address).await?),
        };
        let answer = call(&mut connection, &request).await?;
        self.commit_connection = Some((connection, Instant::now()));
        let response: CommitResponse = serde_json::from_str(&answer.body)?;
        Ok(response.version)
    }

    /// Kills replica servers with SIGKILL: first all of them, then it waits for each to exit.
    ///
    /// # Errors
    /// The operating system refuses to kill a process or to wait for it.
    pub async fn kill(&mut self, replicas: &[u32]) -> io::Result<()> {
        let mut killed = Vec::new();
        for replica in replicas {
            if let Some(mut child) = self.servers[*replica as usize + 1].child.take() {
                child.start_kill()?;
                killed.push(child);
            }
        }
        for mut child in killed {
            child.wait().await?;
        }
        Ok(())
    }

    /// Starts killed replica servers again. They have their options but no records.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn restart_killed(&mut self, replicas: &[u32]) -> io::Result<()> {
        replicas.iter().try_for_each(|replica| self.spawn(*replica as usize + 1))
    }

    /// The replica servers in the order of their numbers.
    pub fn replica_servers(&self) -> Vec<ReplicaServer> {
        let replica_servers = self.servers.iter().skip(1).enumerate();
        replica_servers
            .map(|(replica, server)| ReplicaServer {
                name: server.name.clone(),
                address: server.address,
                region: self.region(replica),
            })
            .collect()
    }

    /// Blocks the traffic between the origin and the replica servers outside the first region.
    pub fn partition_regions(&self) {
        self.origin_proxy.block();
    }

    /// Ends the partition of the regions.
    pub fn heal_partition(&self) {
        self.origin_proxy.unblock();
    }

    /// The number of servers, including the origin.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The process ids of the running servers, the origin first.
    pub fn process_ids(&self) -> Vec<u32> {
        self.servers.iter().filter_map(|server| server.child.as_ref()?.id()).collect()
    }

    /// The name of the server of this number, for messages. The origin is number 0.
    pub fn name(&self, number: usize) -> &str {
        &self.servers[number].name
    }

    /// A message for each server that has exited without being killed by the run.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let exit_message = |server: &mut ServerProcess| {
            let status = server.child.as_mut()?.try_wait().ok()??;
            Some(format!("{} exited unexpectedly, {status}", server.name))
        };
        self.servers.iter_mut().filter_map(exit_message).collect()
    }

    /// Asks the server of this number for its state. The origin is number 0.
    ///
    /// # Errors
    /// The server gives no readable answer in time.
    pub async fn state(&self, number: usize) -> io::Result<ServerState> {
        let answer: DigestsResponse = get(self.servers[number].address, "/control/digests").await?;
        let digest = answer.buckets.iter().fold(0, |sum: u64, bucket| sum.wrapping_add(bucket.0));
        Ok(ServerState { version: answer.version, digest: Digest(digest) })
    }

    /// Asks the server of this number for its table of followers.
    ///
    /// # Errors
    /// The server gives no readable answer in time.
    pub async fn followers(&self, number: usize) -> io::Result<Vec<Follower>> {
        let answer: Followers = get(self.servers[number].address, "/control/followers").await?;
        Ok(answer.followers)
    }
}

/// The text of the options file of a server; `role` is added at its end.
fn server_options(name: &str, number: usize, listen: SocketAddr, layout: &Layout, role: &str) -> String {
    let mut text = format!("name = \"{name}\"\nnumber = {number}\nlisten = \"{listen}\"\n");
    // Writing to a string does not fail.
    let _written = write!(
        text,
        "gather_ms = {}\nmemory_mb = {SERVER_MEMORY_MB}\nsnapshot_pieces_per_second = {:?}\n",
        layout.gather_ms, layout.snapshot_pieces_per_second
    );
    text + role
}

/// Gets this path on a new connection and parses the JSON of the answer.
async fn get<T: for<'de> Deserialize<'de>>(server: SocketAddr, path: &str) -> io::Result<T> {
    let stream = timeout(CALL_TIMEOUT, TcpStream::connect(server)).await?;
    let mut connection = HttpConnection::new(stream?);
    let answer = call(&mut connection, &format!("GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n")).await?;
    Ok(serde_json::from_str(&answer.body)?)
}

/// Sends a request and returns its answer. Any status other than 200 is an error.
async fn call(connection: &mut HttpConnection, request: &str) -> io::Result<Message> {
    let exchange = async {
        connection.write(request).await?;
        connection.read_response().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    let answer: io::Result<Message> = timeout(CALL_TIMEOUT, exchange).await?;
    let answer = answer?;
    if answer.status == OK {
        return Ok(answer);
    }
    Err(io::Error::other(format!("{}: {}", answer.status, answer.body.trim())))
}

/// Distinct addresses that no process listens on. All ports are bound at the same time, because otherwise the system could
/// return the same port twice.
fn free_addresses(listen: IpAddr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((listen, 0))).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
