//! The options file of a control server: read, checked and given its defaults.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pondlb_control::{CommitError, CommitRequest, Limits, NewChange, Store};
use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::validation::{ValidateRecord, validate_json_shape, validate_record};

/// What a control server is in its group.
#[derive(Clone, Debug)]
pub enum Role {
    /// It numbers the changes.
    Origin {
        /// Where changes are committed; none where the initial records are never changed.
        commit_address: Option<SocketAddr>,
        /// The records to begin with.
        initial_records: Vec<NewChange>,
        /// The epoch of its numbers; greater than that of any origin before it.
        epoch: u64,
    },
    /// It follows another control server and serves what that one has.
    Replica {
        /// The servers to follow, the preferred one first where `number` is 0.
        servers: Vec<SocketAddr>,
        /// How long they may wait for news.
        max_hold: Duration,
    },
}

/// All that a control server is told, checked.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Name in the log and towards the servers that it follows.
    pub name: String,
    /// Its number among the replica servers, so that each begins with another of the servers that it follows.
    pub follower_number: u64,
    /// Address for followers.
    pub listen_address: SocketAddr,
    /// Origin or replica.
    pub role: Role,
    /// Least time between two answers with news to one follower.
    pub min_update_interval: Duration,
    /// Most bytes of changes in one answer.
    pub max_changes_bytes: usize,
    /// Most connections of followers.
    pub max_follower_connections: usize,
    /// What the process may use.
    pub memory_limit_mib: usize,
    /// How many pieces of snapshots it gives in a second.
    pub snapshot_pages_per_second: f64,
    /// What an origin checks before it commits. A replica server takes what is in shape, as it may be older than the
    /// balancers that it serves.
    pub validate: ValidateRecord,
}

/// What is wrong with one key of an options file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionsError {
    /// The file.
    pub file: PathBuf,
    /// The key; none where the file as a whole is meant.
    pub key: Option<&'static str>,
    /// What is wrong, and what is accepted.
    pub reason: String,
}

impl fmt::Display for OptionsError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        write!(to, "{}: ", self.file.display())?;
        if let Some(key) = self.key {
            write!(to, "{key}: ")?;
        }
        to.write_str(&self.reason)
    }
}

/// The keys of an options file.
const KEYS: [&str; 13] = [
    "name",
    "number",
    "listen",
    "commit",
    "initial",
    "epoch",
    "follow",
    "hold_ms",
    "gather_ms",
    "piece_bytes",
    "followers",
    "memory_mb",
    "snapshot_pieces_per_second",
];

const DEFAULT_MAX_HOLD_MS: u64 = 1000;
const DEFAULT_MIN_UPDATE_INTERVAL_MS: u64 = 200;
const DEFAULT_MAX_CHANGES_BYTES: usize = 16 * 1024;
/// The longest piece of changes that a server may be told to give; pieces of snapshots are shorter.
pub const CHANGES_BYTES_LIMIT: usize = 1 << 20;
const DEFAULT_MAX_FOLLOWER_CONNECTIONS: usize = 2000;
const DEFAULT_MEMORY_LIMIT_MIB: usize = 256;
/// 64 MB a second where each piece is full.
const DEFAULT_SNAPSHOT_PAGES_PER_SECOND: f64 = 1000.0;

impl ServerOptions {
    /// Options with their defaults, for an origin or a replica server on this address.
    pub fn new(listen: SocketAddr, role: Role) -> ServerOptions {
        ServerOptions {
            name: default_name(listen),
            follower_number: 0,
            listen_address: listen,
            role,
            min_update_interval: Duration::from_millis(DEFAULT_MIN_UPDATE_INTERVAL_MS),
            max_changes_bytes: DEFAULT_MAX_CHANGES_BYTES,
            max_follower_connections: DEFAULT_MAX_FOLLOWER_CONNECTIONS,
            memory_limit_mib: DEFAULT_MEMORY_LIMIT_MIB,
            snapshot_pages_per_second: DEFAULT_SNAPSHOT_PAGES_PER_SECOND,
            validate: validate_json_shape,
        }
    }

    /// Reads an options file.
    ///
    /// # Errors
    /// Everything that is wrong with it at once, so that nobody mends one fault only to meet the next.
    pub fn from_file(file: &Path) -> Result<ServerOptions, Vec<OptionsError>> {
        let whole = |reason| vec![OptionsError { file: file.to_path_buf(), key: None, reason }];
        let text = std::fs::read_to_string(file).map_err(|error| whole(error.to_string()))?;
        let table: Table = text.parse().map_err(|error: toml::de::Error| whole(error.to_string()))?;
        let mut fields = OptionsReader { file, table, errors: Vec::new() };
        let options = fields.read_options();
        match options {
            Some(options) if fields.errors.is_empty() => Ok(options),
            _ => Err(fields.errors),
        }
    }

    /// What the store may hold: half of the memory, since a whole state that is taken stands beside the one before.
    pub fn store_limits(&self) -> Limits {
        Limits { max_total_bytes: (self.memory_limit_mib << 20) / 2, ..Limits::default() }
    }

    /// The longest body of a commit.
    pub fn max_commit_bytes(&self) -> usize {
        (self.memory_limit_mib << 20) / 8
    }

    /// The store that the server begins with.
    ///
    /// # Errors
    /// [`CommitError`] where the initial records are refused.
    pub fn initial_store(&self) -> Result<Store, CommitError> {
        match &self.role {
            Role::Replica { .. } => Ok(Store::new(0, self.store_limits())),
            Role::Origin { initial_records: initial, epoch, .. } => {
                let mut store = Store::new(*epoch, self.store_limits());
                if !initial.is_empty() {
                    store.commit(initial, &self.validate)?;
                }
                Ok(store)
            }
        }
    }
}

/// The table of an options file while it is read.
struct OptionsReader<'a> {
    file: &'a Path,
    table: Table,
    errors: Vec<OptionsError>,
}

impl OptionsReader<'_> {
    /// Notes every fault on its way; none where a required key is missing or faulty.
    fn read_options(&mut self) -> Option<ServerOptions> {
        self.report_unknown_keys();
        let listen = self.required_value::<SocketAddr>("listen");
        let role = self.read_role();
        let name = self.value_or("name", listen.map_or("control".into(), default_name));
        if !is_valid_caller_name(&name) {
            self.report(
                "name",
                format!(
                    "{name:?}: 1 to {MAX_CALLER_NAME_BYTES} letters, digits, '-', '_' or '.' are accepted"
                ),
            );
        }
        let number = self.value_or("number", 0);
        let gather_ms = self.value_in_range("gather_ms", DEFAULT_MIN_UPDATE_INTERVAL_MS, 0, 10_000);
        let piece_bytes =
            self.value_in_range("piece_bytes", DEFAULT_MAX_CHANGES_BYTES, 1024, CHANGES_BYTES_LIMIT);
        let followers = self.value_in_range("followers", DEFAULT_MAX_FOLLOWER_CONNECTIONS, 1, 100_000);
        let memory_mb = self.value_in_range("memory_mb", DEFAULT_MEMORY_LIMIT_MIB, 16, 1 << 20);
        let pieces =
            self.value_in_range("snapshot_pieces_per_second", DEFAULT_SNAPSHOT_PAGES_PER_SECOND, 1.0, 1e6);
        let options = ServerOptions {
            name,
            follower_number: number,
            min_update_interval: Duration::from_millis(gather_ms),
            max_changes_bytes: piece_bytes,
            max_follower_connections: followers,
            memory_limit_mib: memory_mb,
            snapshot_pages_per_second: pieces,
            validate: validate_record,
            ..ServerOptions::new(listen?, role?)
        };
        if let Err(error) = options.initial_store() {
            self.report("initial", error.to_string());
        }
        Some(options)
    }

    fn read_role(&mut self) -> Option<Role> {
        let follow = self.optional_value::<Vec<SocketAddr>>("follow");
        let commit = self.optional_value::<SocketAddr>("commit");
        let initial = self.optional_value::<PathBuf>("initial");
        let epoch = self.optional_value::<u64>("epoch");
        let hold_ms = self.value_in_range("hold_ms", DEFAULT_MAX_HOLD_MS, 10, 60_000);
        if !self.table.contains_key("follow") {
            if !self.table.contains_key("commit") && !self.table.contains_key("initial") {
                self.report("follow", "follow, or commit or initial, is required".into());
                return None;
            }
            if epoch == Some(0) {
                self.report("epoch", "0: 1 or more is accepted".into());
            }
            let initial = initial.map_or(Some(Vec::new()), |initial| self.read_initial_records(&initial))?;
            return Some(Role::Origin {
                commit_address: commit,
                initial_records: initial,
                epoch: epoch.unwrap_or_else(current_time_epoch),
            });
        }
        for key in ["commit", "initial", "epoch"] {
            if self.table.contains_key(key) {
                self.report(key, "is accepted of an origin only, not beside follow".into());
            }
        }
        let follow = follow?;
        if follow.is_empty() {
            self.report("follow", "one address or more is accepted".into());
        }
        Some(Role::Replica { servers: follow, max_hold: Duration::from_millis(hold_ms) })
    }

    /// The initial records; the path is relative to the options file.
    fn read_initial_records(&mut self, path: &Path) -> Option<Vec<NewChange>> {
        let path = self.file.parent().unwrap_or(Path::new("")).join(path);
        let read = std::fs::read(&path).map_err(|error| error.to_string());
        let commit = read.and_then(|bytes| {
            serde_json::from_slice::<CommitRequest>(&bytes).map_err(|error| error.to_string())
        });
        match commit {
            Ok(commit) => Some(commit.changes),
            Err(reason) => {
                self.report("initial", format!("{}: {reason}", path.display()));
                None
            }
        }
    }

    fn report_unknown_keys(&mut self) {
        let unknown: Vec<String> =
            self.table.keys().filter(|key| !KEYS.contains(&key.as_str())).cloned().collect();
        for key in unknown {
            let reason = format!("{key}: no such key; accepted are {}", KEYS.join(", "));
            self.errors.push(OptionsError { file: self.file.to_path_buf(), key: None, reason });
        }
    }

    fn report(&mut self, key: &'static str, reason: String) {
        self.errors.push(OptionsError { file: self.file.to_path_buf(), key: Some(key), reason });
    }

    fn optional_value<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        let value: Value = self.table.get(key)?.clone();
        match value.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(key, error.to_string().trim_end().to_string());
                None
            }
        }
    }

    fn required_value<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        if !self.table.contains_key(key) {
            self.report(key, "is required".into());
        }
        self.optional_value(key)
    }

    fn value_or<T: DeserializeOwned>(&mut self, key: &'static str, default: T) -> T {
        self.optional_value(key).unwrap_or(default)
    }

    fn value_in_range<T>(&mut self, key: &'static str, default: T, least: T, most: T) -> T
    where
        T: DeserializeOwned + PartialOrd + fmt::Display + Copy,
    {
        let value = self.value_or(key, default);
        if !(least..=most).contains(&value) {
            self.report(key, format!("{value}: {least} to {most} is accepted"));
        }
        value
    }
}

/// Control servers of one machine differ in their ports.
fn default_name(listen: SocketAddr) -> String {
    format!("control-{}", listen.port())
}

/// The longest name of a caller.
pub const MAX_CALLER_NAME_BYTES: usize = 64;

/// Whether a follower may call itself so.
pub fn is_valid_caller_name(name: &str) -> bool {
    let is_accepted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_CALLER_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_accepted)
}

/// An origin that is started later has a greater epoch.
fn current_time_epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX).max(1)
}
