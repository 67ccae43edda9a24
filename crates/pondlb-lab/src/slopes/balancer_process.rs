//! Starts one balancer as a child process and measures what its start costs.

use std::fs::{File, read_link};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::process::Child;
use tokio::time::{Instant, sleep, timeout};

use super::process_stats::{Process, ProcessorTime};
use crate::balancers::{Program, is_ready};
use crate::child_process::command_killed_with_parent;

/// How long a balancer may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long one readiness check may take.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// A running balancer.
pub struct BalancerProcess {
    /// The process, for its statistics.
    pub process: Process,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// What the start cost; none if the balancer was not ready in time.
    pub start_cost: Option<StartCost>,
    /// Size of its configuration file, in bytes.
    pub configuration_bytes: usize,
    /// The file with its standard output and standard error.
    log_path: PathBuf,
    /// The child process. Dropping it kills the balancer.
    child: Child,
}

/// What a balancer used from its start until it was ready.
#[derive(Clone, Copy, Debug)]
pub struct StartCost {
    /// Elapsed time.
    pub elapsed: Duration,
    /// Time spent running on a processor.
    pub processor_time: Duration,
}

impl Process {
    /// Waits until the child has replaced its image with the balancer program, and returns the processor time that it
    /// had used by then. The laboratory's own program runs first in the child, and its time is not the balancer's.
    /// Returns zero if the process has ended.
    async fn processor_time_before_exec(self) -> ProcessorTime {
        let Ok(own_program) = std::env::current_exe() else { return ProcessorTime::default() };
        while read_link(format!("/proc/{}/exe", self.0)).is_ok_and(|program| program == own_program) {
            sleep(Duration::from_millis(1)).await;
        }
        self.processor_time().unwrap_or_default()
    }
}

impl BalancerProcess {
    /// Writes the configuration into a file in the folder, starts the program with it, and waits until the balancer is
    /// ready or [`READY_TIMEOUT`] has passed.
    ///
    /// # Errors
    /// The process can't be started or exits on its own.
    pub async fn start(
        program: &Program,
        folder: &Path,
        number: u32,
        address: SocketAddr,
        configuration: &str,
    ) -> io::Result<BalancerProcess> {
        let file = |extension: &str| folder.join(format!("{number}.{extension}"));
        let (configuration_path, log_path) = (file("json"), file("log"));
        std::fs::write(&configuration_path, configuration)?;
        let start = Instant::now();
        let child = spawn_balancer(program, &configuration_path, File::create(&log_path)?)?;
        let process = Process(
            child.id().ok_or_else(|| io::Error::other("the balancer ended immediately after its start"))?,
        );
        let before = process.processor_time_before_exec().await;
        let mut balancer = BalancerProcess {
            process,
            address,
            start_cost: None,
            configuration_bytes: configuration.len(),
            log_path,
            child,
        };
        balancer.wait_until_ready(start, before).await?;
        Ok(balancer)
    }

    /// Waits until the balancer reports that it is ready, and records what the start cost. `before` is the processor
    /// time that the child had used before it ran the balancer.
    async fn wait_until_ready(&mut self, start: Instant, before: ProcessorTime) -> io::Result<()> {
        while start.elapsed() < READY_TIMEOUT {
            if let Some(status) = self.child.try_wait()? {
                let last_line = self.last_log_line();
                return Err(io::Error::other(format!(
                    "the balancer ended before it served, {status}: {last_line}"
                )));
            }
            if matches!(timeout(HEALTH_CHECK_TIMEOUT, is_ready(self.address)).await, Ok(Ok(true))) {
                let processor_time = self.process.processor_time()?.since(&before).on_cpu;
                self.start_cost = Some(StartCost { elapsed: start.elapsed(), processor_time });
                return Ok(());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// The last line of the balancer's log; empty if there is none.
    pub fn last_log_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().last().unwrap_or_default().to_string()
    }

    /// Kills the balancer and waits for its exit.
    ///
    /// # Errors
    /// The process can't be killed or waited for.
    pub async fn stop(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}

/// Starts the child process, which is killed when the laboratory ends.
fn spawn_balancer(program: &Program, configuration_path: &Path, log: File) -> io::Result<Child> {
    command_killed_with_parent(&program.path)?
        .args(&program.arguments)
        .env("RELAY_CONFIG", configuration_path)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
