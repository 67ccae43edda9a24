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

const READY_WITHIN: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// A server closes a connection on which no request comes for 10 s.
const COMMIT_IDLE: Duration = Duration::from_secs(5);
const MEMORY_MB: u64 = 1024;
/// Pieces of snapshots a second that no run comes near: snapshots are bounded by the hollow processes, which take few at
/// the same time.
pub const UNBOUNDED_SNAPSHOT_PIECES: f64 = 100_000.0;
/// As a server has it where its options say nothing.
const DEFAULT_GATHER_MS: u64 = 200;
const OK: u16 = 200;

/// The state of a control server, as it tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerState {
    /// Its version.
    pub version: Version,
    /// The digest of all of its records.
    pub digest: Digest,
}

/// A follower, in a server's table of them.
#[derive(Clone, Debug, Deserialize)]
pub struct Follower {
    /// Its name.
    pub name: String,
    /// What it has in force, as its last call told.
    pub version: Version,
    /// Whether the digest that it told was right.
    #[serde(default)]
    pub in_sync: bool,
}

#[derive(Deserialize)]
struct Followers {
    followers: Vec<Follower>,
}

/// A replica server, as balancers know it.
#[derive(Clone, Debug)]
pub struct ReplicaServer {
    /// Its name in the report.
    pub name: String,
    /// Where balancers call it.
    pub address: SocketAddr,
    /// Its region.
    pub region: usize,
}

struct Server {
    name: String,
    address: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
}

/// Which control servers are started, and where.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// The address that they listen on.
    pub listen: IpAddr,
    /// Servers beside the origin.
    pub replica_servers: u32,
    /// Regions that the replica servers are spread over.
    pub regions: u32,
    /// For how long a server gathers changes between two answers to one caller.
    pub gather_ms: u64,
    /// How many pieces of snapshots a server gives in a second.
    pub snapshot_pieces_per_second: f64,
}

impl Layout {
    /// On one address of loopback, in one region, with the gather time that a server has where its options say nothing,
    /// and unbounded snapshots.
    pub fn local(replica_servers: u32) -> Layout {
        Layout {
            listen: IpAddr::V4(Ipv4Addr::LOCALHOST),
            replica_servers,
            regions: 1,
            gather_ms: DEFAULT_GATHER_MS,
            snapshot_pieces_per_second: UNBOUNDED_SNAPSHOT_PIECES,
        }
    }
}

/// An origin and its replica servers. All end with it.
pub struct ControlServers {
    program: Program,
    folder: TempDir,
    regions: usize,
    /// The origin first.
    servers: Vec<Server>,
    commit: SocketAddr,
    /// The connection of the last commit, and when its answer came.
    commit_wire: Option<(HttpConnection, Instant)>,
    /// What the replica servers of the other regions reach the origin by.
    between_regions: Proxy,
}

impl ControlServers {
    /// Starts them with these records, and waits until all have them.
    ///
    /// # Errors
    /// Where a program is missing, ends, or is not ready in time.
    pub async fn start(program: &Program, layout: &Layout, initial: Vec<NewChange>) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let count = layout.replica_servers as usize + 1;
        let mut addresses = free_addresses(layout.listen, count + 1)?;
        let commit = addresses.pop().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let between_regions = Proxy::start(layout.listen, addresses[0]).await?;
        let first = folder.path().join("initial.json");
        std::fs::write(&first, serde_json::to_vec(&CommitRequest { changes: initial })?)?;
        let mut servers = ControlServers {
            program: program.clone(),
            folder,
            regions: layout.regions as usize,
            servers: Vec::new(),
            commit,
            commit_wire: None,
            between_regions,
        };
        for (number, address) in addresses.iter().enumerate() {
            let name = if number == 0 { "origin".into() } else { format!("replica-{}", number - 1) };
            let file = servers.folder.path().join(format!("{name}.toml"));
            let role = servers.role(number, addresses[0], &first);
            std::fs::write(&file, options(&name, number, *address, layout, &role))?;
            servers.servers.push(Server { name, address: *address, file, child: None });
        }
        for number in 0..count {
            servers.spawn(number)?;
            if number == 0 {
                // Replica servers that find no origin would wait before they ask again.
                servers.ready(0, Version::default()).await?;
            }
        }
        let version = servers.state(0).await?.version;
        for number in 1..count {
            servers.ready(number, version).await?;
        }
        Ok(servers)
    }

    fn role(&self, number: usize, origin: SocketAddr, initial: &Path) -> String {
        if number == 0 {
            return format!("commit = \"{}\"\nepoch = 1\ninitial = {initial:?}\n", self.commit);
        }
        let origin = if self.region(number - 1) == 0 { origin } else { self.between_regions.address };
        format!("follow = [\"{origin}\"]\n")
    }

    fn region(&self, replica: usize) -> usize {
        replica % self.regions
    }

    fn spawn(&mut self, number: usize) -> io::Result<()> {
        let log_file = self.folder.path().join(format!("{}.log", self.servers[number].name));
        let log = File::options().create(true).append(true).open(log_file)?;
        let child = command_killed_with_parent(&self.program.path)?
            .args(&self.program.arguments)
            .arg(&self.servers[number].file)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.servers[number].child = Some(child);
        Ok(())
    }

    async fn ready(&mut self, number: usize, least: Version) -> io::Result<()> {
        let until = Instant::now() + READY_WITHIN;
        while Instant::now() < until {
            let name = self.servers[number].name.clone();
            if let Some(child) = &mut self.servers[number].child
                && let Some(status) = child.try_wait()?
            {
                let log = std::fs::read_to_string(self.folder.path().join(format!("{name}.log")));
                let log = log.unwrap_or_default();
                let said = log.lines().last().unwrap_or_default();
                return Err(io::Error::other(format!("{name} ended before it served, {status}: {said}")));
            }
            let state = self.state(number).await;
            if state.is_ok_and(|state| state.version.epoch > 0 && state.version >= least) {
                return Ok(());
            }
            sleep(POLL).await;
        }
        let name = &self.servers[number].name;
        Err(io::Error::other(format!("{name} was not ready within {READY_WITHIN:?}")))
    }

    /// Where the origin serves.
    pub fn origin(&self) -> SocketAddr {
        self.servers[0].address
    }

    /// Replica servers by region, as balancers are told them.
    pub fn by_region(&self) -> Vec<Vec<SocketAddr>> {
        let mut regions = vec![Vec::new(); self.regions];
        for (replica, server) in self.servers.iter().skip(1).enumerate() {
            regions[self.region(replica)].push(server.address);
        }
        regions
    }

    /// Commits changes at the origin.
    ///
    /// # Errors
    /// Where the origin refuses them, or gives no answer.
    pub async fn commit(&mut self, changes: Vec<NewChange>) -> io::Result<Version> {
        let body = serde_json::to_string(&CommitRequest { changes })?;
        let request = format!(
            "POST /control/commit HTTP/1.1\r\nHost: lab\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let kept = self.commit_wire.take().filter(|(_, used)| used.elapsed() < COMMIT_IDLE);
        let mut wire = match kept {
            Some((wire, _)) => wire,
            None => HttpConnection::new(TcpStream::connect(self.commit).await?),
        };
        let answer = call(&mut wire, &request).await?;
        self.commit_wire = Some((wire, Instant::now()));
        let committed: CommitResponse = serde_json::from_str(&answer.body)?;
        Ok(committed.version)
    }

    /// Kills replica servers outright, all before it waits for the end of any.
    ///
    /// # Errors
    /// Where the system refuses that.
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

    /// Starts killed replica servers again, with nothing but their options.
    ///
    /// # Errors
    /// Where one can't be started.
    pub fn start_again(&mut self, replicas: &[u32]) -> io::Result<()> {
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

    /// Cuts the other regions off from the origin.
    pub fn cut(&self) {
        self.between_regions.cut();
    }

    /// Joins the regions again.
    pub fn join(&self) {
        self.between_regions.join();
    }

    /// How many there are, the origin included.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Process ids of those that run, the origin first.
    pub fn processes(&self) -> Vec<u32> {
        self.servers.iter().filter_map(|server| server.child.as_ref()?.id()).collect()
    }

    /// The name of a server, for messages.
    pub fn name(&self, number: usize) -> &str {
        &self.servers[number].name
    }

    /// Which have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = |server: &mut Server| {
            let status = server.child.as_mut()?.try_wait().ok()??;
            Some(format!("{} ended by itself, {status}", server.name))
        };
        self.servers.iter_mut().filter_map(ended).collect()
    }

    /// The state of a server; the origin is number 0.
    ///
    /// # Errors
    /// Where it gives none.
    pub async fn state(&self, number: usize) -> io::Result<ServerState> {
        let answer: DigestsResponse = get(self.servers[number].address, "/control/digests").await?;
        let digest = answer.buckets.iter().fold(0, |sum: u64, bucket| sum.wrapping_add(bucket.0));
        Ok(ServerState { version: answer.version, digest: Digest(digest) })
    }

    /// The followers of a server.
    ///
    /// # Errors
    /// Where it tells none.
    pub async fn followers(&self, number: usize) -> io::Result<Vec<Follower>> {
        let answer: Followers = get(self.servers[number].address, "/control/followers").await?;
        Ok(answer.followers)
    }
}

fn options(name: &str, number: usize, listen: SocketAddr, layout: &Layout, role: &str) -> String {
    let mut text = format!("name = \"{name}\"\nnumber = {number}\nlisten = \"{listen}\"\n");
    // Writing to a string can't fail.
    let _written = write!(
        text,
        "gather_ms = {}\nmemory_mb = {MEMORY_MB}\nsnapshot_pieces_per_second = {:?}\n",
        layout.gather_ms, layout.snapshot_pieces_per_second
    );
    text + role
}

async fn get<T: for<'de> Deserialize<'de>>(server: SocketAddr, path: &str) -> io::Result<T> {
    let connected = timeout(CALL_WITHIN, TcpStream::connect(server)).await?;
    let mut wire = HttpConnection::new(connected?);
    let answer = call(&mut wire, &format!("GET {path} HTTP/1.1\r\nHost: lab\r\n\r\n")).await?;
    Ok(serde_json::from_str(&answer.body)?)
}

async fn call(wire: &mut HttpConnection, request: &str) -> io::Result<Message> {
    let answered = async {
        wire.write(request).await?;
        wire.read_response().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    let answer: io::Result<Message> = timeout(CALL_WITHIN, answered).await?;
    let answer = answer?;
    if answer.status == OK {
        return Ok(answer);
    }
    Err(io::Error::other(format!("{}: {}", answer.status, answer.body.trim())))
}

/// Addresses that nobody listens on. All are held at once, or one could be given twice.
fn free_addresses(listen: IpAddr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((listen, 0))).collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
