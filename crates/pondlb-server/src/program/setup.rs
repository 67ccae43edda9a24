//! Reads and checks the configuration and fills in its defaults. Nothing else of the program reads it.

#[cfg(test)]
mod tests;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use pondlb_http::{DEFAULT_MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_READER_BYTES};
use pondlb_terms::{Deployment, Settings};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::protocol::discovery::UpstreamList;
use crate::routing::RequestIds;
use crate::transport::{ControlServers, MemoryLimit, ProbeSettings};

/// The checked configuration.
pub struct Setup {
    /// The balancer's name in the log and for control servers.
    pub name: String,
    /// The address to listen on for clients.
    pub listen: SocketAddr,
    /// `None` if control servers are followed instead.
    pub discovery: Option<SocketAddr>,
    pub control: Option<ControlServers>,
    /// Seeds all random choices of the balancer.
    pub seed: u64,
    pub budget: Budget,
    /// The list of upstreams to start with.
    pub initial_list: UpstreamList,
    pub deployment: Deployment,
    /// How upstreams are probed; `None` if they are not.
    pub probe: Option<ProbeSettings>,
    pub settings: Settings,
}

/// The part of the configuration that the program was started with, for comparison with a configuration that is read
/// again. Of these only the address of discovery can change without a restart.
pub struct StartupSettings {
    pub discovery: Option<SocketAddr>,
    control: Option<ControlServers>,
    name: String,
    listen: SocketAddr,
    budget: Budget,
    probe: Option<ProbeSettings>,
}

impl StartupSettings {
    /// The keys whose values differ from those the program was started with and take effect only after a restart.
    pub fn keys_changed_since(&self, before: &StartupSettings) -> impl Iterator<Item = &'static str> {
        let changes = [
            ("name", self.name != before.name),
            ("listen", self.listen != before.listen),
            ("control", self.control != before.control),
            ("limits", self.budget != before.budget),
            ("probe", self.probe != before.probe),
        ];
        changes.into_iter().filter_map(|(key, changed)| changed.then_some(key))
    }
}

/// How many connections each side may hold and how long a list may be, so that the program as a whole stays within its
/// file descriptors and memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub client_connections: usize,
    pub upstream_connections: usize,
    pub memory: MemoryLimit,
    /// The longest list that is accepted, in bytes as discovery sends it.
    pub max_list_bytes: usize,
    /// How many ids are remembered of requests that may have run and must not run again.
    pub max_request_ids: usize,
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Budget { client_connections, upstream_connections, memory, max_list_bytes, .. } = self;
        write!(
            f,
            "at most {client_connections} client connections, {upstream_connections} upstream connections, \
             {} bytes of memory, {max_list_bytes} bytes per list",
            memory.max_bytes
        )
    }
}

/// The configuration file as JSON. Its fields are the keys of the file.
#[derive(Deserialize)]
struct ConfigurationFile {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    control: Option<ControlSection>,
    /// Hexadecimal.
    seed: String,
    #[serde(default)]
    limits: LimitsSection,
    /// The list of upstreams to start with, as discovery sends it.
    known: Option<Box<RawValue>>,
    probe: Option<ProbeSection>,
    settings: Box<RawValue>,
}

/// The key `control` of the file.
#[derive(Deserialize)]
struct ControlSection {
    servers: Vec<SocketAddr>,
    #[serde(default = "ControlSection::default_hold_ms")]
    /// How long a control server may hold a call until there are changes.
    hold_ms: u64,
}

impl ControlSection {
    fn default_hold_ms() -> u64 {
        1000
    }

    fn check(self) -> Result<ControlServers, String> {
        if self.servers.is_empty() {
            return Err("control.servers: one address or more is accepted".into());
        }
        if !(10..=60_000).contains(&self.hold_ms) {
            return Err(format!("control.hold_ms: {}: 10 to 60000 are accepted", self.hold_ms));
        }
        Ok(ControlServers { servers: self.servers, hold: Duration::from_millis(self.hold_ms) })
    }
}

/// The key `probe` of the file.
#[derive(Deserialize)]
struct ProbeSection {
    path: Option<String>,
    #[serde(default = "ProbeSection::default_within_ms")]
    /// How long a probe may take.
    within_ms: u64,
}

impl ProbeSection {
    fn default_within_ms() -> u64 {
        250
    }

    fn check(self) -> Result<ProbeSettings, String> {
        let path = self.path.ok_or("probe.path is missing: a path that begins with / is accepted")?;
        if !path.starts_with('/')
            || path.len() > MAX_PROBE_PATH_BYTES
            || !path.bytes().all(|byte| byte.is_ascii_graphic())
        {
            return Err(format!("probe.path: {path:?}: a path that begins with / is accepted"));
        }
        if !(1..=10_000).contains(&self.within_ms) {
            return Err(format!("probe.within_ms: {}: 1 to 10000 are accepted", self.within_ms));
        }
        Ok(ProbeSettings { path, timeout: Duration::from_millis(self.within_ms) })
    }
}

/// The key `limits` of the file.
#[derive(Deserialize)]
#[serde(default)]
struct LimitsSection {
    /// Memory of the whole process, in MiB.
    memory_mb: u64,
    /// File descriptors of the whole process.
    sockets: usize,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection { memory_mb: 192, sockets: 1024 }
    }
}

/// File descriptors for the listener, discovery, the log, the runtime and what the system opens by itself. The reserve
/// of the connection table comes out of them too.
const RESERVED_DESCRIPTORS: usize = 48;
/// Memory of the program's code, stack and threads, which the memory limit does not count.
const UNCOUNTED_MEMORY_BYTES: u64 = 12 << 20;
/// The most memory that one request can take: the buffers of its client's connection, its message as kept and as
/// written for one attempt, and the response as read, kept and written.
const MAX_REQUEST_MEMORY_BYTES: u64 =
    (2 * MAX_READER_BYTES + 4 * (DEFAULT_MAX_BODY_BYTES + MAX_HEAD_BYTES)) as u64;
/// A list may be as long as the memory limit divided by this. As received, as upstreams and as what is known of each
/// upstream, a list takes fourteen times its length, and no new requests are served while more than half of the memory
/// limit is in use.
const LIST_MEMORY_DIVISOR: u64 = 40;
/// A list may be at least this long however low the memory limit is. The list of a thousand upstreams takes a quarter
/// of it, or two thirds with the longest names and indented.
const MIN_LIST_LIMIT_BYTES: u64 = 1 << 20;
/// The ids of earlier requests may take the memory limit divided by this.
const REQUEST_ID_MEMORY_DIVISOR: usize = 8;
/// A configuration that leaves fewer connections to upstreams is rejected.
const MIN_UPSTREAM_CONNECTIONS: usize = 8;
/// A configuration whose memory limit does not hold this many of the largest requests is rejected.
const MIN_LARGEST_REQUESTS: u64 = 4;
/// The longest path that upstreams can be probed at.
const MAX_PROBE_PATH_BYTES: usize = 256;

impl Setup {
    /// Reads the file that RELAY_CONFIG names. `env` looks up an environment variable; some keys that the file leaves
    /// out may be set there.
    ///
    /// # Errors
    /// All faults that are found, so that they can be corrected at once.
    pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Setup, Vec<String>> {
        let path = env("RELAY_CONFIG").ok_or_else(|| vec!["RELAY_CONFIG is not set".to_string()])?;
        let text =
            std::fs::read_to_string(&path).map_err(|error| vec![format!("RELAY_CONFIG: {path}: {error}")])?;
        let file: ConfigurationFile = parse_json(&text).map_err(|fault| vec![fault])?;
        let address = |in_file: Option<SocketAddr>, key: &str, variable: &str| match (in_file, env(variable))
        {
            (Some(address), _) => Ok(address),
            (None, Some(text)) => text.parse().map_err(|error| format!("{variable}: {text:?}: {error}")),
            (None, None) => Err(format!("{key} is missing, and {variable} is not set")),
        };
        let mut faults = Vec::new();
        let listen = collect_fault(&mut faults, address(file.listen, "listen", "RELAY_LISTEN"));
        let follows_control = file.control.is_some();
        let control = collect_fault(&mut faults, file.control.map(ControlSection::check).transpose());
        let discovery = match follows_control {
            true => Some(None),
            false => {
                collect_fault(&mut faults, address(file.discovery, "discovery", "RELAY_DISCOVERY").map(Some))
            }
        };
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.map_err(|error| format!("seed: {:?}: {error}", file.seed));
        let seed = collect_fault(&mut faults, seed);
        let budget = collect_fault(&mut faults, Budget::from_limits(&file.limits));
        let initial_list = file.known.map(|known| UpstreamList::decode(known.get().as_bytes())).transpose();
        let initial_list =
            collect_fault(&mut faults, initial_list.map_err(|error| format!("known: {error}")));
        let settings = Settings::decode(file.settings.get()).map_err(|error| format!("settings: {error}"));
        let settings = collect_fault(&mut faults, settings);
        let probe = collect_fault(&mut faults, file.probe.map(ProbeSection::check).transpose());
        let (Some(listen), Some(discovery), Some(control), Some(seed)) = (listen, discovery, control, seed)
        else {
            return Err(faults);
        };
        let (Some(budget), Some(initial_list), Some(settings), Some(probe)) =
            (budget, initial_list, settings, probe)
        else {
            return Err(faults);
        };
        let mut deployment = settings.deployment();
        if probe.is_some() && !deployment.balancer_config.probing {
            return Err(vec!["settings: Limits.Probing: false: true is accepted beside probe".into()]);
        }
        // Without the key `probe`, upstreams can't be probed: the platform's protocol has no request for it.
        deployment.balancer_config.probing = probe.is_some();
        let mut initial_list = initial_list.unwrap_or_default();
        // The initial list names all known upstreams, even if it is the response to a call for changes.
        initial_list.is_snapshot = true;
        log::debug!("settings {}", file.settings.get());
        let name = file.name.or_else(|| env("RELAY_NAME")).unwrap_or_else(|| "pondlb".into());
        Ok(Setup {
            name,
            listen,
            discovery,
            control,
            seed,
            budget,
            initial_list,
            deployment,
            probe,
            settings,
        })
    }

    /// The part that is compared when the configuration is read again.
    pub fn startup_settings(&self) -> StartupSettings {
        let Setup { name, listen, discovery, control, budget, probe, .. } = self;
        let (name, control, probe) = (name.clone(), control.clone(), probe.clone());
        StartupSettings { discovery: *discovery, control, name, listen: *listen, budget: *budget, probe }
    }
}

impl Budget {
    fn from_limits(limits: &LimitsSection) -> Result<Budget, String> {
        // Upstreams get the smaller part: clients keep idle connections open, while upstreams are few and idle
        // connections to them are closed.
        let connections = limits.sockets.saturating_sub(RESERVED_DESCRIPTORS);
        let upstream_connections = connections / 3;
        // Allocators keep more memory than they hand out, so a third of the memory is not allocated.
        let process_bytes = limits.memory_mb.saturating_mul(1 << 20);
        let max_bytes = process_bytes.saturating_sub(UNCOUNTED_MEMORY_BYTES) * 2 / 3;
        if upstream_connections < MIN_UPSTREAM_CONNECTIONS {
            return Err(format!("limits.sockets: {} are too few to serve", limits.sockets));
        }
        if max_bytes < MIN_LARGEST_REQUESTS * MAX_REQUEST_MEMORY_BYTES {
            return Err(format!("limits.memory_mb: {} are too few to serve", limits.memory_mb));
        }
        let client_connections = connections - upstream_connections;
        let max_list_bytes = (max_bytes / LIST_MEMORY_DIVISOR).max(MIN_LIST_LIMIT_BYTES) as usize;
        let memory = MemoryLimit { max_bytes: max_bytes as usize };
        let max_request_ids = memory.max_bytes / REQUEST_ID_MEMORY_DIVISOR / RequestIds::BYTES_PER_ID;
        Ok(Budget { client_connections, upstream_connections, memory, max_list_bytes, max_request_ids })
    }
}

/// Returns the value of a result, or adds its error to `faults`.
fn collect_fault<T>(faults: &mut Vec<String>, result: Result<T, String>) -> Option<T> {
    result.map_err(|fault| faults.push(fault)).ok()
}

/// Parses a JSON document. An error names the path of the key at fault.
fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| error.to_string())?;
    reader.end().map_err(|error| error.to_string())?;
    Ok(value)
}
