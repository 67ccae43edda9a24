//! The options file of a control server: parsing, validation and defaults.

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pondlb_control::{CommitError, CommitRequest, Limits, NewChange, Store};
use serde::de::DeserializeOwned;
use toml::{Table, Value};

use crate::validation::{ValidateRecord, validate_json_shape, validate_record};

/// The role of a control server.
#[derive(Clone, Debug)]
pub enum Role {
    /// The origin accepts commits and assigns revisions to their changes.
    Origin {
        /// The address for commits; `None` if the initial records never change.
        commit_address: Option<SocketAddr>,
        /// The records at the start.
        initial_records: Vec<NewChange>,
        /// The epoch of its versions, greater than that of any earlier origin.
        epoch: u64,
    },
    /// A replica server follows another control server and serves its records.
    Replica {
        /// The servers to follow. The replica server with number 0 prefers the first one.
        servers: Vec<SocketAddr>,
        /// For how long they may hold a request while there are no new changes.
        max_hold: Duration,
    },
}

/// The validated options of a control server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The name in the log and in requests to the servers that it follows.
    pub name: String,
    /// The number of a replica server. Replica servers with consecutive numbers are divided evenly among the servers
    /// that they follow.
    pub follower_number: u64,
    /// The address for followers.
    pub listen_address: SocketAddr,
    /// Whether it is the origin or a replica server.
    pub role: Role,
    /// The minimum time between two responses with changes on one connection.
    pub min_update_interval: Duration,
    /// The maximum length of the changes in one response.
    pub max_changes_bytes: usize,
    /// The maximum number of connections of followers.
    pub max_follower_connections: usize,
    /// The memory that the process may use, in MiB.
    pub memory_limit_mib: usize,
    /// The maximum rate of snapshot pages.
    pub snapshot_pages_per_second: f64,
    /// How an origin validates records before it commits them. A replica server checks only their JSON types, because
    /// it may be of an older version than the balancers that it serves.
    pub validate: ValidateRecord,
}

/// An error in an options file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionsError {
    /// The options file.
    pub file: PathBuf,
    /// The key with the error; `None` if it concerns the whole file.
    pub key: Option<&'static str>,
    /// What is wrong, or what is accepted instead.
    pub reason: String,
}

impl fmt::Display for OptionsError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}: ", self.file.display())?;
        if let Some(key) = self.key {
            write!(formatter, "{key}: ")?;
        }
        formatter.write_str(&self.reason)
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
/// The largest valid `piece_bytes`. Followers accept responses of this length; snapshot pages are shorter.
pub const CHANGES_BYTES_LIMIT: usize = 1 << 20;
const DEFAULT_MAX_FOLLOWER_CONNECTIONS: usize = 2000;
const DEFAULT_MEMORY_LIMIT_MIB: usize = 256;
/// 64 MB per second if all pages are full.
const DEFAULT_SNAPSHOT_PAGES_PER_SECOND: f64 = 1000.0;

impl ServerOptions {
    /// The default options of a server with this role at this address.
    pub fn new(listen_address: SocketAddr, role: Role) -> ServerOptions {
        ServerOptions {
            name: default_name(listen_address),
            follower_number: 0,
            listen_address,
            role,
            min_update_interval: Duration::from_millis(DEFAULT_MIN_UPDATE_INTERVAL_MS),
            max_changes_bytes: DEFAULT_MAX_CHANGES_BYTES,
            max_follower_connections: DEFAULT_MAX_FOLLOWER_CONNECTIONS,
            memory_limit_mib: DEFAULT_MEMORY_LIMIT_MIB,
            snapshot_pages_per_second: DEFAULT_SNAPSHOT_PAGES_PER_SECOND,
            validate: validate_json_shape,
        }
    }

    /// Reads and validates an options file.
    ///
    /// # Errors
    /// All errors of the file at once, so that they can be corrected in one pass.
    pub fn from_file(file: &Path) -> Result<ServerOptions, Vec<OptionsError>> {
        let file_error = |reason| vec![OptionsError { file: file.to_path_buf(), key: None, reason }];
        let text = std::fs::read_to_string(file).map_err(|error| file_error(error.to_string()))?;
        let table: Table = text.parse().map_err(|error: toml::de::Error| file_error(error.to_string()))?;
        let mut reader = OptionsReader { file, table, errors: Vec::new() };
        let options = reader.read_options();
        match options {
            Some(options) if reader.errors.is_empty() => Ok(options),
            _ => Err(reader.errors),
        }
    }

    /// The limits of the store. It gets half of the memory, since a new complete state is held besides the active one
    /// until it replaces it.
    pub fn store_limits(&self) -> Limits {
        Limits { max_total_bytes: (self.memory_limit_mib << 20) / 2, ..Limits::default() }
    }

    /// The maximum length of the body of a commit.
    pub fn max_commit_bytes(&self) -> usize {
        (self.memory_limit_mib << 20) / 8
    }

    /// The store at the start of the server.
    ///
    /// # Errors
    /// [`CommitError`] if the initial records are rejected.
    pub fn initial_store(&self) -> Result<Store, CommitError> {
        match &self.role {
            Role::Replica { .. } => Ok(Store::new(0, self.store_limits())),
            Role::Origin { initial_records, epoch, .. } => {
                let mut store = Store::new(*epoch, self.store_limits());
                if !initial_records.is_empty() {
                    store.commit(initial_records, &self.validate)?;
                }
                Ok(store)
            }
        }
    }
}

/// Reads the values of an options file and collects all errors.
struct OptionsReader<'a> {
    file: &'a Path,
    table: Table,
    errors: Vec<OptionsError>,
}

impl OptionsReader<'_> {
    /// Reads all options. Returns `None` if a required key is missing or invalid; other errors are only collected.
    fn read_options(&mut self) -> Option<ServerOptions> {
        self.report_unknown_keys();
        let listen_address = self.required_value::<SocketAddr>("listen");
        let role = self.read_role();
        let name = self.value_or("name", listen_address.map_or("control".into(), default_name));
        if !is_valid_caller_name(&name) {
            self.report(
                "name",
                format!(
                    "{name:?}: 1 to {MAX_CALLER_NAME_BYTES} letters, digits, '-', '_' or '.' are accepted"
                ),
            );
        }
        let follower_number = self.value_or("number", 0);
        let gather_ms = self.value_in_range("gather_ms", DEFAULT_MIN_UPDATE_INTERVAL_MS, 0, 10_000);
        let max_changes_bytes =
            self.value_in_range("piece_bytes", DEFAULT_MAX_CHANGES_BYTES, 1024, CHANGES_BYTES_LIMIT);
        let max_follower_connections =
            self.value_in_range("followers", DEFAULT_MAX_FOLLOWER_CONNECTIONS, 1, 100_000);
        let memory_limit_mib = self.value_in_range("memory_mb", DEFAULT_MEMORY_LIMIT_MIB, 16, 1 << 20);
        let snapshot_pages_per_second =
            self.value_in_range("snapshot_pieces_per_second", DEFAULT_SNAPSHOT_PAGES_PER_SECOND, 1.0, 1e6);
        let options = ServerOptions {
            name,
            follower_number,
            min_update_interval: Duration::from_millis(gather_ms),
            max_changes_bytes,
            max_follower_connections,
            memory_limit_mib,
            snapshot_pages_per_second,
            validate: validate_record,
            ..ServerOptions::new(listen_address?, role?)
        };
        if let Err(error) = options.initial_store() {
            self.report("initial", error.to_string());
        }
        Some(options)
    }

    /// Reads the keys that depend on the role. A server with the key `follow` is a replica server.
    fn read_role(&mut self) -> Option<Role> {
        let servers = self.optional_value::<Vec<SocketAddr>>("follow");
        let commit_address = self.optional_value::<SocketAddr>("commit");
        let initial_path = self.optional_value::<PathBuf>("initial");
        let epoch = self.optional_value::<u64>("epoch");
        let hold_ms = self.value_in_range("hold_ms", DEFAULT_MAX_HOLD_MS, 10, 60_000);
        if !self.table.contains_key("follow") {
            if !self.table.contains_key("commit") && !self.table.contains_key("initial") {
                self.report("follow", "either follow, or commit or initial is required".into());
                return None;
            }
            if epoch == Some(0) {
                self.report("epoch", "0: 1 or more is accepted".into());
            }
            let initial_records =
                initial_path.map_or(Some(Vec::new()), |path| self.read_initial_records(&path))?;
            return Some(Role::Origin {
                commit_address,
                initial_records,
                epoch: epoch.unwrap_or_else(current_time_epoch),
            });
        }
        for key in ["commit", "initial", "epoch"] {
            if self.table.contains_key(key) {
                self.report(key, "is accepted only for an origin, not together with follow".into());
            }
        }
        let servers = servers?;
        if servers.is_empty() {
            self.report("follow", "one address or more is accepted".into());
        }
        Some(Role::Replica { servers, max_hold: Duration::from_millis(hold_ms) })
    }

    /// Reads the file with the initial records. Its path is relative to the options file.
    fn read_initial_records(&mut self, path: &Path) -> Option<Vec<NewChange>> {
        let path = self.file.parent().unwrap_or(Path::new("")).join(path);
        let bytes = std::fs::read(&path).map_err(|error| error.to_string());
        let commit = bytes.and_then(|bytes| {
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

    /// Reports all keys that are not in [`KEYS`].
    fn report_unknown_keys(&mut self) {
        let unknown: Vec<String> =
            self.table.keys().filter(|key| !KEYS.contains(&key.as_str())).cloned().collect();
        for key in unknown {
            let reason = format!("{key}: no such key; accepted are {}", KEYS.join(", "));
            self.errors.push(OptionsError { file: self.file.to_path_buf(), key: None, reason });
        }
    }

    /// Adds an error for a key.
    fn report(&mut self, key: &'static str, reason: String) {
        self.errors.push(OptionsError { file: self.file.to_path_buf(), key: Some(key), reason });
    }

    /// The value of a key; `None` if the key is missing, or if the value is invalid, which is reported.
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

    /// Like [`Self::optional_value`], but also reports a missing key.
    fn required_value<T: DeserializeOwned>(&mut self, key: &'static str) -> Option<T> {
        if !self.table.contains_key(key) {
            self.report(key, "is required".into());
        }
        self.optional_value(key)
    }

    /// The value of a key, or the default if the key is missing or invalid.
    fn value_or<T: DeserializeOwned>(&mut self, key: &'static str, default: T) -> T {
        self.optional_value(key).unwrap_or(default)
    }

    /// Like [`Self::value_or`], but also reports a value that is not from `min` to `max`.
    fn value_in_range<T>(&mut self, key: &'static str, default: T, min: T, max: T) -> T
    where
        T: DeserializeOwned + PartialOrd + fmt::Display + Copy,
    {
        let value = self.value_or(key, default);
        if !(min..=max).contains(&value) {
            self.report(key, format!("{value}: {min} to {max} is accepted"));
        }
        value
    }
}

/// The default name of a server. It contains the port, in which control servers of one machine differ.
fn default_name(listen_address: SocketAddr) -> String {
    format!("control-{}", listen_address.port())
}

/// The maximum length of the name of a follower.
pub const MAX_CALLER_NAME_BYTES: usize = 64;

/// Whether this is a valid name of a follower.
pub fn is_valid_caller_name(name: &str) -> bool {
    let is_accepted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_CALLER_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_accepted)
}

/// An epoch for an origin that starts now: the time in milliseconds, which is greater for each later start.
fn current_time_epoch() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX).max(1)
}
