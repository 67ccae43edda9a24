//! Balancers as real processes, which are signalled by their own process ids and never by name.

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

/// How long a balancer with a short list of upstreams may take until it serves.
pub const READY_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a balancer may take to exit after SIGTERM; by far longer than it takes to answer its open requests.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);
const READY_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const NS_PER_MS: u64 = 1_000_000;

/// A program and how it is started.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
}

/// The balancers of a run. Dropping them kills their processes.
pub struct Balancers {
    program: Program,
    /// Their configuration and log files.
    folder: TempDir,
    /// Where each listens for clients.
    pub addresses: Vec<SocketAddr>,
    /// Their processes; `None` for one that is being restarted.
    children: RefCell<Vec<Option<Child>>>,
}

/// How long a balancer's graceful restart took.
#[derive(Clone, Copy, Debug)]
pub struct RestartDurations {
    /// From SIGTERM to the exit of its process.
    pub shutdown: Duration,
    /// From the start of the next process until it serves.
    pub startup: Duration,
}

impl Balancers {
    /// Starts all balancers and waits for each in turn, up to `ready_timeout`, until it reports that it is ready.
    /// `adjust` changes the configuration of each of them before its start.
    ///
    /// # Errors
    /// A balancer could not be started, exited, or was not ready in time.
    pub async fn start(
        program: &Program,
        scenario: &Scenario,
        fleet: &Fleet,
        ready_timeout: Duration,
        adjust: impl Fn(u32, &mut Value),
    ) -> io::Result<Balancers> {
        let (folder, program) = (tempfile::tempdir()?, program.clone());
        let mut balancers =
            Balancers { program, folder, addresses: Vec::new(), children: RefCell::default() };
        // All are bound at the same time, or the system could give the same port twice.
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
            balancers.wait_until_ready(number, address, ready_timeout).await?;
        }
        Ok(balancers)
    }

    fn file(&self, number: u32, extension: &str) -> PathBuf {
        self.folder.path().join(format!("{number}.{extension}"))
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

    async fn wait_until_ready(
        &self,
        number: usize,
        address: SocketAddr,
        ready_timeout: Duration,
    ) -> io::Result<()> {
        let deadline = Instant::now() + ready_timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status(number)? {
                let log = self.log(number);
                let last_line = log.lines().last().unwrap_or_default();
                return Err(io::Error::other(format!(
                    "balancer {number} exited before it was ready, {status}: {last_line}"
                )));
            }
            if matches!(timeout(READY_CHECK_TIMEOUT, is_ready(address)).await, Ok(Ok(true))) {
                return Ok(());
            }
            sleep(READY_CHECK_INTERVAL).await;
        }
        Err(io::Error::other(format!("balancer {number} was not ready within {ready_timeout:?}")))
    }

    /// Kills a balancer by SIGKILL and starts it again with the same configuration.
    ///
    /// # Errors
    /// It does not run, or could not be killed or started.
    pub async fn kill_and_restart(&self, number: usize) -> io::Result<()> {
        self.take_child(number)?.kill().await?;
        self.put_child(number, self.spawn(number as u32)?);
        Ok(())
    }

    /// Ends a balancer by SIGTERM and, once it has exited, starts it again with the same configuration; `on_exit` is
    /// called in between. Returns once it serves again.
    ///
    /// # Errors
    /// It does not exit in time, exits with a status other than success, or does not serve again.
    pub async fn restart(
        &self,
        number: usize,
        ready_timeout: Duration,
        on_exit: impl FnOnce(),
    ) -> io::Result<RestartDurations> {
        let mut child = self.take_child(number)?;
        let signalled = Instant::now();
        terminate(&child)?;
        let status = timeout(SHUTDOWN_TIMEOUT, child.wait()).await;
        let Ok(status) = status else {
            let message = format!("balancer {number} had not exited {SHUTDOWN_TIMEOUT:?} after SIGTERM");
            return Err(io::Error::other(message));
        };
        let status = status?;
        if !status.success() {
            return Err(io::Error::other(format!("balancer {number} exited with {status} after SIGTERM")));
        }
        let shutdown = signalled.elapsed();
        on_exit();
        let started = Instant::now();
        self.put_child(number, self.spawn(number as u32)?);
        self.wait_until_ready(number, self.addresses[number], ready_timeout).await?;
        Ok(RestartDurations { shutdown, startup: started.elapsed() })
    }

    fn take_child(&self, number: usize) -> io::Result<Child> {
        let child = self.children.borrow_mut().get_mut(number).and_then(Option::take);
        child.ok_or_else(|| io::Error::other(format!("balancer {number} is not running")))
    }

    fn put_child(&self, number: usize, child: Child) {
        if let Some(entry) = self.children.borrow_mut().get_mut(number) {
            *entry = Some(child);
        }
    }

    /// The exit status of a balancer that was not asked to exit, if it has exited.
    fn exit_status(&self, number: usize) -> io::Result<Option<ExitStatus>> {
        let mut children = self.children.borrow_mut();
        let child = children.get_mut(number).and_then(Option::as_mut);
        child.map_or(Ok(None), Child::try_wait)
    }

    /// What a balancer has logged since its first start; empty if its log can't be read.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.file(number as u32, "log")).unwrap_or_default()
    }

    /// The process ids of the balancers that run.
    pub fn process_ids(&self) -> Vec<u32> {
        self.children.borrow().iter().flatten().filter_map(Child::id).collect()
    }

    /// The balancers that exited although nothing had asked them to, with their exit status.
    pub fn unexpected_exits(&self) -> Vec<(usize, String)> {
        let count = self.addresses.len();
        (0..count).filter_map(|number| Some((number, self.exit_status(number).ok()??.to_string()))).collect()
    }
}

fn terminate(child: &Child) -> io::Result<()> {
    let id = child.id().and_then(|id| i32::try_from(id).ok()).and_then(Pid::from_raw);
    kill_process(id.ok_or(io::ErrorKind::NotFound)?, Signal::TERM)?;
    Ok(())
}

/// Whether a balancer answers its health check with 200.
pub(crate) async fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
    connection.write("GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n").await?;
    Ok(connection.read_response().await?.is_some_and(|response| response.status == 200))
}

/// The configuration of one balancer.
fn config(scenario: &Scenario, fleet: &Fleet, number: u32, listen: SocketAddr) -> Value {
    let rules = &scenario.rules;
    let mut zones: Vec<String> = scenario.upstreams.iter().map(|spec| spec.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let classes: Vec<_> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                Effect::Idempotent => "idempotent",
                Effect::Keyed => "deduplicated",
                Effect::NonIdempotent => "at_most_once",
            };
            json!({ "Name": class.name, "Effect": effect, "Value": class.value, "SlaTimeNs": class.sla_ms * NS_PER_MS,
                "ExpiryNs": class.deadline_ms * NS_PER_MS, "DedupScope": "cell", "KeyTtlNs": class.deadline_ms * NS_PER_MS })
        })
        .collect();
    // The settings allow probing for all balancers, but one without a `probe` of its own never probes.
    let probes = scenario.probing_balancers.contains(&number);
    let limits = json!({ "Cancelling": true, "ConnIdleNs": 15_000 * NS_PER_MS, "DialTimeoutNs": 250 * NS_PER_MS,
        "MaxOpen": 20_000, "MaxPostings": 3, "MaxRetryAfterNs": 2000 * NS_PER_MS, "RetryAfter": true,
        "SecondCopies": !probes, "Probing": true });
    let rules = json!({ "ColdShare": rules.initial_capacity_share, "DrainGraceNs": rules.drain_grace_ms * NS_PER_MS,
        "FallMultiple": rules.collapse_load_factor, "FallNs": rules.collapse_window_ms * NS_PER_MS, "MustAskInNs": 10_000 * NS_PER_MS,
        "WarmWithinNs": rules.warm_up_ms * NS_PER_MS });
    json!({
        "name": format!("lab-{number}"), "listen": listen.to_string(),
        "discovery": fleet.discovery_addresses[number as usize].to_string(),
        "seed": format!("{:x}", scenario.seed ^ (u64::from(number) + 1)), "known": fleet.initial_list(number),
        "probe": probes.then(|| json!({ "path": "/load", "within_ms": 100 })),
        "settings": {
            "Balancers": scenario.balancers, "SelfIndex": number, "MyZone": number as usize % zones.len(),
            "Zones": zones, "MachineTypes": ["m"], "Discovery": "ask", "ExcessValue": 1.0,
            "Reporting": { "Fields": ["rif", "q"] }, "Limits": limits, "Rules": rules, "Schemes": classes,
        },
    })
}
