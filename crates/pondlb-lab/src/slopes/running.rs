//! One balancer as a real process.

use std::fs::{File, read_link};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::process::Child;
use tokio::time::{Instant, sleep, timeout};

use super::probe::{Process, Scheduled};
use crate::balancers::{Program, is_ready};
use crate::child_process::command_killed_with_parent;

const READY_WITHIN: Duration = Duration::from_secs(10);
const READY_STEP: Duration = Duration::from_millis(5);
const HEALTH_WITHIN: Duration = Duration::from_secs(2);

/// A balancer that runs.
pub struct Running {
    /// The balancer.
    pub process: Process,
    /// Where clients reach it.
    pub address: SocketAddr,
    /// What it costs to get ready; none where it never did.
    pub start: Option<Start>,
    /// Bytes of its configuration.
    pub file_bytes: usize,
    log: PathBuf,
    /// Dropping it ends the balancer.
    child: Child,
}

/// What a balancer spent until it was ready.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// From its start on.
    pub took: Duration,
    /// On a processor.
    pub processor: Duration,
}

impl Process {
    /// What it was given before it became the balancer: the laboratory's own program starts it. Nothing where it has ended.
    async fn once_it_is_the_program(self) -> Scheduled {
        let Ok(own) = std::env::current_exe() else { return Scheduled::default() };
        while read_link(format!("/proc/{}/exe", self.0)).is_ok_and(|program| program == own) {
            sleep(Duration::from_millis(1)).await;
        }
        self.scheduled().unwrap_or_default()
    }
}

impl Running {
    /// Starts the program with a configuration that is written into a folder, and waits until it is ready.
    ///
    /// # Errors
    /// It can't be started, or ends by itself.
    pub async fn start(
        program: &Program,
        folder: &Path,
        number: u32,
        address: SocketAddr,
        configuration: &str,
    ) -> io::Result<Running> {
        let file = |ending: &str| folder.join(format!("{number}.{ending}"));
        let (config, log) = (file("json"), file("log"));
        std::fs::write(&config, configuration)?;
        let begun = Instant::now();
        let child = spawn(program, &config, File::create(&log)?)?;
        let process = Process(child.id().ok_or_else(|| io::Error::other("the balancer ended at once"))?);
        let before = process.once_it_is_the_program().await;
        let file_bytes = configuration.len();
        let mut running = Running { process, address, start: None, file_bytes, log, child };
        running.wait_until_ready(begun, before).await?;
        Ok(running)
    }

    async fn wait_until_ready(&mut self, begun: Instant, before: Scheduled) -> io::Result<()> {
        while begun.elapsed() < READY_WITHIN {
            if let Some(status) = self.child.try_wait()? {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                let said = log.lines().last().unwrap_or_default();
                return Err(io::Error::other(format!(
                    "the balancer ended before it served, {status}: {said}"
                )));
            }
            if matches!(timeout(HEALTH_WITHIN, is_ready(self.address)).await, Ok(Ok(true))) {
                let processor = self.process.scheduled()?.since(&before).ran;
                self.start = Some(Start { took: begun.elapsed(), processor });
                return Ok(());
            }
            sleep(READY_STEP).await;
        }
        Ok(())
    }

    /// What the log says in its last line.
    pub fn last_line(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().last().unwrap_or_default().to_string()
    }

    /// Ends the balancer and waits for it.
    ///
    /// # Errors
    /// Its end can't be waited for.
    pub async fn end(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}

fn spawn(program: &Program, config: &Path, log: File) -> io::Result<Child> {
    command_killed_with_parent(&program.path)?
        .args(&program.arguments)
        .env("RELAY_CONFIG", config)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
