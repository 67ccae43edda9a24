//! The one place where the configuration is read, checked and given its defaults.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use pondlb_http::{DEFAULT_MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_READER_BYTES};
use pondlb_terms::{Deployment, Settings};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use crate::protocol::discovery::UpstreamList;
use crate::transport::{Control, Memory, Probing};

/// All that the program is told, checked.
pub struct Setup {
    pub name: String,
    pub listen: SocketAddr,
    /// None where control servers are followed in its place.
    pub discovery: Option<SocketAddr>,
    pub control: Option<Control>,
    pub seed: u64,
    pub budget: Budget,
    pub known: UpstreamList,
    pub deployment: Deployment,
    pub probing: Option<Probing>,
    pub settings: Settings,
}

/// What a configuration read anew is compared with.
pub struct Given {
    pub discovery: Option<SocketAddr>,
    control: Option<Control>,
    name: String,
    listen: SocketAddr,
    budget: Budget,
    probing: Option<Probing>,
}

impl Given {
    /// The keys, discovery and settings apart, whose values are not those that the program was started with.
    pub fn changed_since(&self, before: &Given) -> impl Iterator<Item = &'static str> {
        let changes = [
            ("name", self.name != before.name),
            ("listen", self.listen != before.listen),
            ("control", self.control != before.control),
            ("limits", self.budget != before.budget),
            ("probe", self.probing != before.probing),
        ];
        changes.into_iter().filter_map(|(key, changed)| changed.then_some(key))
    }
}

/// How many connections each side may hold and how long a list may be, so that all together keep within descriptors
/// and memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    pub clients: usize,
    pub upstreams: usize,
    pub memory: Memory,
    /// In bytes, as discovery sends them.
    pub longest_list: usize,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    control: Option<ControlKeys>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Box<RawValue>>,
    probe: Option<Probe>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
struct ControlKeys {
    servers: Vec<SocketAddr>,
    #[serde(default = "ControlKeys::hold_ms")]
    hold_ms: u64,
}

impl ControlKeys {
    fn hold_ms() -> u64 {
        1000
    }

    fn read(self) -> Result<Control, String> {
        if self.servers.is_empty() {
            return Err("control.servers: one address or more is accepted".into());
        }
        if !(10..=60_000).contains(&self.hold_ms) {
            return Err(format!("control.hold_ms: {}: 10 to 60000 are accepted", self.hold_ms));
        }
        Ok(Control { servers: self.servers, hold: Duration::from_millis(self.hold_ms) })
    }
}

#[derive(Deserialize)]
struct Probe {
    path: Option<String>,
    #[serde(default = "Probe::within_ms")]
    within_ms: u64,
}

impl Probe {
    fn within_ms() -> u64 {
        250
    }

    fn read(self) -> Result<Probing, String> {
        let path = self.path.ok_or("probe.path is missing: a path that begins with / is accepted")?;
        if !path.starts_with('/') || path.len() > 256 || !path.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(format!("probe.path: {path:?}: a path that begins with / is accepted"));
        }
        if !(1..=10_000).contains(&self.within_ms) {
            return Err(format!("probe.within_ms: {}: 1 to 10000 are accepted", self.within_ms));
        }
        Ok(Probing { path, within: Duration::from_millis(self.within_ms) })
    }
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192, sockets: 1024 }
    }
}

/// Descriptors for the listener, discovery, the log, the runtime and what the system opens by itself.
const OWN_DESCRIPTORS: usize = 48;
/// Memory of the program's own code, stack and threads, which nobody counts.
const OWN_MEMORY: u64 = 12 << 20;
/// A request's memory at its worst: what its client's connection holds, its message as kept and as written for
/// one attempt, and its answer as read, kept and written.
const REQUEST_MEMORY: u64 = (2 * MAX_READER_BYTES + 4 * (DEFAULT_MAX_BODY_BYTES + MAX_HEAD_BYTES)) as u64;
/// A list may be as long as one of so many parts of the memory. As it was sent, as its upstreams and as what is known
/// of each it holds fourteen times its length, and with more than half of the memory held nothing new is served.
const LIST_SHARE: u64 = 40;
/// A list may be as long as this however little memory there is; a fleet of a thousand takes a quarter of it, or
/// with the longest names and indented two thirds.
const LEAST_LIST: u64 = 1 << 20;
const FEWEST: usize = 8;
const FEW_REQUESTS: u64 = 4;

impl Setup {
    /// `env` looks up a variable of the environment; what the file leaves out may stand there. All that is wrong
    /// is told, so that nobody mends one fault only to meet the next.
    pub fn read(env: impl Fn(&str) -> Option<String>) -> Result<Setup, Vec<String>> {
        let path = env("RELAY_CONFIG").ok_or_else(|| vec!["RELAY_CONFIG is not set".to_string()])?;
        let text = std::fs::read_to_string(&path).map_err(|e| vec![format!("RELAY_CONFIG: {path}: {e}")])?;
        let file: File = decode(&text).map_err(|fault| vec![fault])?;
        let address = |given: Option<SocketAddr>, key: &str, variable: &str| match (given, env(variable)) {
            (Some(address), _) => Ok(address),
            (None, Some(text)) => text.parse().map_err(|e| format!("{variable}: {text:?}: {e}")),
            (None, None) => Err(format!("{key} is missing, and {variable} is not set")),
        };
        let mut faults = Vec::new();
        let listen = noted(&mut faults, address(file.listen, "listen", "RELAY_LISTEN"));
        let is_controlled = file.control.is_some();
        let control = noted(&mut faults, file.control.map(ControlKeys::read).transpose());
        let discovery = match is_controlled {
            true => Some(None),
            false => noted(&mut faults, address(file.discovery, "discovery", "RELAY_DISCOVERY").map(Some)),
        };
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {:?}: {e}", file.seed));
        let seed = noted(&mut faults, seed);
        let budget = noted(&mut faults, Budget::of(&file.limits));
        let known = file.known.map(|known| UpstreamList::decode(known.get().as_bytes())).transpose();
        let known = noted(&mut faults, known.map_err(|e| format!("known: {e}")));
        let settings = Settings::decode(file.settings.get()).map_err(|e| format!("settings: {e}"));
        let settings = noted(&mut faults, settings);
        let probing = noted(&mut faults, file.probe.map(Probe::read).transpose());
        let (Some(listen), Some(discovery), Some(control), Some(seed)) = (listen, discovery, control, seed)
        else {
            return Err(faults);
        };
        let (Some(budget), Some(known), Some(settings), Some(probing)) = (budget, known, settings, probing)
        else {
            return Err(faults);
        };
        let mut deployment = settings.deployment();
        if probing.is_some() && !deployment.terms.probing {
            return Err(vec!["settings: Limits.Probing: false: true is accepted beside probe".into()]);
        }
        // Who says no way to probe has none: the platform's protocol has no word for it.
        deployment.terms.probing = probing.is_some();
        let mut known = known.unwrap_or_default();
        // It stands for all that was known, whatever its last call brought.
        known.is_snapshot = true;
        log::debug!("settings {}", file.settings.get());
        let name = file.name.or_else(|| env("RELAY_NAME")).unwrap_or_else(|| "pondlb".into());
        Ok(Setup { name, listen, discovery, control, seed, budget, known, deployment, probing, settings })
    }

    pub fn given(&self) -> Given {
        let Setup { name, listen, discovery, control, budget, probing, .. } = self;
        let (name, control, probing) = (name.clone(), control.clone(), probing.clone());
        Given { discovery: *discovery, control, name, listen: *listen, budget: *budget, probing }
    }
}

impl Budget {
    fn of(limits: &Limits) -> Result<Budget, String> {
        // Clients keep connections that stand idle; upstreams are few, and idle ones are retired.
        let sockets = limits.sockets.saturating_sub(OWN_DESCRIPTORS);
        let upstreams = sockets / 3;
        // Half again is left to spare: allocators keep more than they hand out.
        let most = limits.memory_mb.saturating_mul(1 << 20).saturating_sub(OWN_MEMORY) * 2 / 3;
        if upstreams < FEWEST {
            return Err(format!("limits.sockets: {} are too few to serve", limits.sockets));
        }
        if most < FEW_REQUESTS * REQUEST_MEMORY {
            return Err(format!("limits.memory_mb: {} are too few to serve", limits.memory_mb));
        }
        let clients = sockets - upstreams;
        let longest_list = (most / LIST_SHARE).max(LEAST_LIST) as usize;
        Ok(Budget { clients, upstreams, memory: Memory { most: most as usize }, longest_list })
    }
}

fn noted<T>(faults: &mut Vec<String>, read: Result<T, String>) -> Option<T> {
    read.map_err(|fault| faults.push(fault)).ok()
}

fn decode<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|e| e.to_string())?;
    reader.end().map_err(|e| e.to_string())?;
    Ok(value)
}
