//! Clients of a control server that send at full speed, beside one that asks now and then.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const FLOOD_CLIENTS: usize = 3;
const FLOOD_DURATION: Duration = Duration::from_millis(2000);
/// How much a client of a flood writes at once.
const FLOOD_BLOCK_BYTES: usize = 32 * 1024;
/// A request of the other client must be answered within this time.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(500);
const REQUEST: &str = "GET /control/followers HTTP/1.1\r\nHost: c\r\n\r\n";

/// A control server process, which is killed when this is dropped.
struct Origin {
    process: Child,
    address: SocketAddr,
}

impl Origin {
    fn start() -> Origin {
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("floods.toml");
        std::fs::write(&file, "listen = \"127.0.0.1:0\"\ncommit = \"127.0.0.1:0\"\n").unwrap();
        let mut process = Command::new(env!("CARGO_BIN_EXE_pondlb-control-server"))
            .arg(file)
            .env_remove("RUST_LOG")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(process.stderr.take().unwrap()).read_line(&mut line).unwrap();
        let (_, rest) = line.split_once("listens on ").expect("the address is logged");
        let address = rest.split([' ', ',', ':']).take(2).collect::<Vec<_>>().join(":");
        Origin { process, address: address.trim().parse().unwrap() }
    }
}

impl Drop for Origin {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Sends without a pause, and reads what comes, until `is_over`. A connection that ends is replaced by another.
fn send_flood(address: SocketAddr, unit: &str, is_over: &AtomicBool) {
    let block = unit.repeat(FLOOD_BLOCK_BYTES / unit.len());
    while !is_over.load(Ordering::Relaxed) {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut received = stream.try_clone().unwrap();
        thread::scope(|scope| {
            scope.spawn(move || {
                let mut buffer = vec![0; 1 << 18];
                while matches!(received.read(&mut buffer), Ok(1..)) {}
            });
            let mut unsent = block.as_bytes();
            while !is_over.load(Ordering::Relaxed) {
                match stream.write(unsent) {
                    Ok(count @ 1..) => unsent = &unsent[count..],
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                    _ => break,
                }
                if unsent.is_empty() {
                    unsent = block.as_bytes();
                }
            }
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

/// The longest time until a request on a new connection had the first byte of its answer, or `None` if one had none in
/// time.
fn slowest_answer(address: SocketAddr) -> Option<Duration> {
    let started = Instant::now();
    let mut slowest = Duration::ZERO;
    while started.elapsed() < FLOOD_DURATION {
        let asked = Instant::now();
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(MAX_ANSWER_TIME)).unwrap();
        stream.write_all(REQUEST.as_bytes()).unwrap();
        if !matches!(stream.read(&mut [0; 1]), Ok(1)) {
            return None;
        }
        slowest = slowest.max(asked.elapsed());
        sleep(Duration::from_millis(20));
    }
    Some(slowest)
}

/// Guards against the incident described in docs/incidents/floods.md on control servers: as long as a client sends at full
/// speed on one connection, hardly any other is answered.
#[test]
fn floods_on_a_few_connections_delay_no_other_client() {
    for unit in [REQUEST, "\r\n", "this is no request\r\n\r\n"] {
        let origin = Origin::start();
        let is_over = AtomicBool::new(false);
        let slowest = thread::scope(|scope| {
            for _ in 0..FLOOD_CLIENTS {
                scope.spawn(|| send_flood(origin.address, unit, &is_over));
            }
            let slowest = slowest_answer(origin.address);
            is_over.store(true, Ordering::Relaxed);
            slowest
        });
        println!("{unit:?}: answered after {slowest:?} at most");
        assert!(slowest.is_some(), "{unit:?}: a request was not answered in time");
    }
}
