//! Balancers as real processes, started, killed and ended by their own ids.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::time::{Instant, sleep, timeout};

use crate::child_process::command_killed_with_parent;
use crate::fleet::Fleet;
use crate::http::HttpConnection;
use crate::scenario::{Effect, Scenario};

/// How long a balancer with a short list may take until it serves.
pub const READY_WITHIN: Duration = Duration::from_secs(5);
/// How long one may take to end after SIGTERM, well beyond the time in which it has answered all.
const ENDS_WITHIN: Duration = Duration::from_secs(10);
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
    /// None where one is between its end and its next start.
    children: RefCell<Vec<Option<Child>>>,
}

/// A balancer's orderly end and its next start.
#[derive(Clone, Copy, Debug)]
pub struct RestartDurations {
    /// From SIGTERM to its end.
    pub shutdown: Duration,
    /// From its next start until it serves.
    pub startup: Duration,
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
        let mut balancers =
            Balancers { program, folder, addresses: Vec::new(), children: RefCell::default() };
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
            balancers.children.get_mut().push(Some(child));
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
        command_killed_with_parent(&self.program.path)?
            .args(&self.program.arguments)
            .env("RELAY_CONFIG", self.file(number, "json"))
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", self.program.path.display())))
    }

    async fn ready(&self, number: usize, address: SocketAddr, within: Duration) -> io::Result<()> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.status(number)? {
                let log = self.log(number);
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
    pub async fn kill_and_restart(&self, number: usize) -> io::Result<()> {
        self.take(number)?.kill().await?;
        self.put(number, self.spawn(number as u32)?);
        Ok(())
    }

    /// Told to end by SIGTERM, and started again with what it was given first once it has ended; `ended` is called in
    /// between. Returns once it serves.
    ///
    /// # Errors
    /// Where it does not end by itself, ends with another status than success, or does not serve again.
    pub async fn restart(
        &self,
        number: usize,
        ready_within: Duration,
        ended: impl FnOnce(),
    ) -> io::Result<RestartDurations> {
        let mut child = self.take(number)?;
        let told = Instant::now();
        terminate(&child)?;
        let status = timeout(ENDS_WITHIN, child.wait()).await;
        let Ok(status) = status else {
            let told = format!("balancer {number} had not ended {ENDS_WITHIN:?} after SIGTERM");
            return Err(io::Error::other(told));
        };
        let status = status?;
        if !status.success() {
            return Err(io::Error::other(format!("balancer {number} ended by SIGTERM with {status}")));
        }
        let ending = told.elapsed();
        ended();
        let started = Instant::now();
        self.put(number, self.spawn(number as u32)?);
        self.ready(number, self.addresses[number], ready_within).await?;
        Ok(RestartDurations { shutdown: ending, startup: started.elapsed() })
    }

    fn take(&self, number: usize) -> io::Result<Child> {
        let child = self.children.borrow_mut().get_mut(number).and_then(Option::take);
        child.ok_or_else(|| io::Error::other(format!("balancer {number} does not run")))
    }

    fn put(&self, number: usize, child: Child) {
        if let Some(place) = self.children.borrow_mut().get_mut(number) {
            *place = Some(child);
        }
    }

    /// How it has ended, if it has.
    fn status(&self, number: usize) -> io::Result<Option<ExitStatus>> {
        let mut children = self.children.borrow_mut();
        let child = children.get_mut(number).and_then(Option::as_mut);
        child.map_or(Ok(None), Child::try_wait)
    }

    /// What a balancer has logged since its first start.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.file(number as u32, "log")).unwrap_or_default()
    }

    /// Ids of their processes, of those that run.
    pub fn process_ids(&self) -> Vec<u32> {
        self.children.borrow().iter().flatten().filter_map(Child::id).collect()
    }

    /// Which have ended by themselves, and how.
    pub fn unexpected_exits(&self) -> Vec<(usize, String)> {
        let count = self.addresses.len();
        (0..count).filter_map(|number| Some((number, self.status(number).ok()??.to_string()))).collect()
    }
}

fn terminate(child: &Child) -> io::Result<()> {
    let id = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
    kill_process(id.ok_or(io::ErrorKind::NotFound)?, Signal::TERM)?;
    Ok(())
}

pub(crate) async fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut wire = HttpConnection::new(TcpStream::connect(address).await?);
    wire.write("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n").await?;
    Ok(wire.read_response().await?.is_some_and(|answer| answer.status == 200))
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
    let asks = scenario.probing_balancers.contains(&number);
    let limits = json!({ "Cancelling": true, "ConnIdleNs": 15_000 * NS, "DialTimeoutNs": 250 * NS,
        "MaxOpen": 20_000, "MaxPostings": 3, "MaxRetryAfterNs": 2000 * NS, "RetryAfter": true,
        "SecondCopies": !asks, "Probing": true });
    let rules = json!({ "ColdShare": rules.initial_capacity_share, "DrainGraceNs": rules.drain_grace_ms * NS,
        "FallMultiple": rules.collapse_load_factor, "FallNs": rules.collapse_window_ms * NS, "MustAskInNs": 10_000 * NS,
        "WarmWithinNs": rules.warm_up_ms * NS });
    json!({
        "name": format!("lab-{number}"), "listen": listen.to_string(),
        "discovery": fleet.discovery_addresses[number as usize].to_string(),
        "seed": format!("{:x}", scenario.seed ^ (u64::from(number) + 1)), "known": fleet.initial_list(number),
        "probe": asks.then(|| json!({ "path": "/load", "within_ms": 100 })),
        "settings": {
            "Balancers": scenario.balancers, "SelfIndex": number, "MyZone": number as usize % zones.len(),
            "Zones": zones, "MachineTypes": ["m"], "Discovery": "ask", "ExcessValue": 1.0,
            "Reporting": { "Fields": ["rif", "q"] }, "Limits": limits, "Rules": rules, "Schemes": classes,
        },
    })
}
