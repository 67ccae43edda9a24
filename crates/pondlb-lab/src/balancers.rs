//! Balancers as real processes, started, killed and ended by their own ids.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::time::{Instant, sleep, timeout};

use crate::fleet::Fleet;
use crate::holding::held;
use crate::http::Wire;
use crate::scenario::{Effect, Scenario};

/// How long a balancer with a short list may take until it serves.
pub const READY_WITHIN: Duration = Duration::from_secs(5);
const NS: u64 = 1_000_000;

/// What is started for each balancer.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

pub struct Balancers {
    program: Program,
    folder: TempDir,
    pub addresses: Vec<SocketAddr>,
    children: Vec<Child>,
}

impl Balancers {
    /// Started, and each answering that it is ready within that time after the one before. `adjust` changes what each of them is told.
    pub async fn start(
        program: &Program,
        scenario: &Scenario,
        fleet: &Fleet,
        ready_within: Duration,
        adjust: impl Fn(u32, &mut Value),
    ) -> io::Result<Balancers> {
        let (folder, program) = (tempfile::tempdir()?, program.clone());
        let mut balancers = Balancers { program, folder, addresses: Vec::new(), children: Vec::new() };
        // All are held at once, or one could be given twice.
        let listeners: Vec<TcpListener> =
            (0..scenario.balancers).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        balancers.addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        drop(listeners);
        for number in 0..scenario.balancers {
            let mut config = config(scenario, fleet, number, balancers.addresses[number as usize]);
            adjust(number, &mut config);
            std::fs::write(balancers.file(number, "json"), config.to_string())?;
            let child = balancers.spawn(number)?;
            balancers.children.push(child);
        }
        for (number, address) in balancers.addresses.clone().into_iter().enumerate() {
            balancers.ready(number, address, ready_within).await?;
        }
        Ok(balancers)
    }

    fn file(&self, number: u32, ending: &str) -> PathBuf {
        self.folder.path().join(format!("{number}.{ending}"))
    }

    fn spawn(&self, number: u32) -> io::Result<Child> {
        let log = std::fs::File::options().create(true).append(true).open(self.file(number, "log"))?;
        held(&self.program.path)?
            .args(&self.program.arguments)
            .env("RELAY_CONFIG", self.file(number, "json"))
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", self.program.path.display())))
    }

    async fn ready(&mut self, number: usize, address: SocketAddr, within: Duration) -> io::Result<()> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.children[number].try_wait()? {
                let log = std::fs::read_to_string(self.file(number as u32, "log")).unwrap_or_default();
                let said = log.lines().last().unwrap_or_default();
                return Err(io::Error::other(format!(
                    "balancer {number} ended before it served, {status}: {said}"
                )));
            }
            if matches!(timeout(Duration::from_millis(500), is_ready(address)).await, Ok(Ok(true))) {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other(format!("balancer {number} was not ready within {within:?}")))
    }

    /// Killed outright, and started again with what it was given first.
    pub async fn kill_and_start(&mut self, number: usize) -> io::Result<()> {
        self.children[number].kill().await?;
        self.children[number] = self.spawn(number as u32)?;
        Ok(())
    }

    /// Ids of their processes, of those that run.
    pub fn processes(&self) -> Vec<u32> {
        self.children.iter().filter_map(Child::id).collect()
    }

    /// Which have ended by themselves, and how.
    pub fn ended(&mut self) -> Vec<(usize, String)> {
        let ended = self.children.iter_mut().enumerate();
        ended.filter_map(|(n, child)| Some((n, child.try_wait().ok()??.to_string()))).collect()
    }
}

pub(crate) async fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut wire = Wire::new(TcpStream::connect(address).await?);
    wire.write("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n").await?;
    Ok(wire.answer().await?.is_some_and(|answer| answer.status == 200))
}

/// What one balancer is told, in the platform's form.
fn config(scenario: &Scenario, fleet: &Fleet, number: u32, listen: SocketAddr) -> Value {
    let rules = &scenario.rules;
    let mut zones: Vec<String> = scenario.upstreams.iter().map(|m| m.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let classes: Vec<_> = scenario
        .classes
        .iter()
        .map(|s| {
            let effect = match s.effect {
                Effect::Idempotent => "idempotent",
                Effect::Keyed => "deduplicated",
                Effect::NonIdempotent => "at_most_once",
            };
            json!({ "Name": s.name, "Effect": effect, "Value": s.value, "SlaTimeNs": s.sla_ms * NS,
                "ExpiryNs": s.deadline_ms * NS, "DedupScope": "cell", "KeyTtlNs": s.deadline_ms * NS })
        })
        .collect();
    // The settings allow all to ask; who has no `probe` of its own asks nobody all the same.
    let asks = scenario.asking.contains(&number);
    let limits = json!({ "Cancelling": true, "ConnIdleNs": 15_000 * NS, "DialTimeoutNs": 250 * NS,
        "MaxOpen": 20_000, "MaxPostings": 3, "MaxRetryAfterNs": 2000 * NS, "RetryAfter": true,
        "SecondCopies": !asks, "Probing": true });
    let rules = json!({ "ColdShare": rules.cold_share, "DrainGraceNs": rules.drain_grace_ms * NS,
        "FallMultiple": rules.fall_multiple, "FallNs": rules.fall_ms * NS, "MustAskInNs": 10_000 * NS,
        "WarmWithinNs": rules.warm_ms * NS });
    json!({
        "name": format!("lab-{number}"), "listen": listen.to_string(),
        "discovery": fleet.discovery[number as usize].to_string(),
        "seed": format!("{:x}", scenario.seed ^ (u64::from(number) + 1)), "known": fleet.known(number),
        "probe": asks.then(|| json!({ "path": "/load", "within_ms": 100 })),
        "settings": {
            "Balancers": scenario.balancers, "SelfIndex": number, "MyZone": number as usize % zones.len(),
            "Zones": zones, "MachineTypes": ["m"], "Discovery": "ask", "ExcessValue": 1.0,
            "Reporting": { "Fields": ["rif", "q"] }, "Limits": limits, "Rules": rules, "Schemes": classes,
        },
    })
}
