//! Tests for balancers whose list discovery does not confirm in time (the incident described in
//! docs/incidents/stale-list.md), with real processes and connections: nothing may be sent to an upstream that drained
//! meanwhile, and an outage of discovery must not stop traffic.

mod discovery;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use discovery::{FaultyDiscovery, Mode};

use crate::MS;
use crate::helper::*;

/// How long after a change at discovery a balancer must act on it, if discovery can be reached.
const MAX_LIST_DELAY: Duration = Duration::from_millis(6000);
/// The setting `DrainGraceNs`, and the tolerance of time limits on sockets.
const GRACE_AND_TOLERANCE: Duration = Duration::from_millis(500 + 50);
/// How long a test continues after the time from which nothing may be sent.
const OBSERVATION_TIME: Duration = Duration::from_millis(2500);
/// The pause between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// The configuration of a balancer in a fleet of 91, which readily attributes refused calls to an overloaded discovery.
fn configuration(options: &BalancerOptions) -> String {
    options.configuration().replace("\"Balancers\":1,", "\"Balancers\":91,")
}

/// What an upstream and a client saw while the client sent requests continuously.
#[derive(Debug, Default)]
struct Traffic {
    /// When requests arrived at the upstream.
    arrivals: Vec<Instant>,
    /// The status codes of the client's answers.
    statuses: Vec<String>,
}

impl Traffic {
    fn last_arrival(&self) -> Instant {
        *self.arrivals.last().expect("requests were sent")
    }
}

/// Sends requests continuously until `faults` returns.
fn request_during(balancer: &Balancer, upstream: Upstream, faults: impl FnOnce()) -> Traffic {
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        let client = scope.spawn(|| {
            let mut statuses = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let answer = balancer.request(&format!("r{number}"), "browse");
                statuses.push(answer.status().to_string());
                sleep(REQUEST_INTERVAL);
            }
            statuses
        });
        let is_over_ref = &is_over;
        let observer = scope.spawn(move || {
            let mut arrivals = Vec::new();
            while !is_over_ref.load(Ordering::Relaxed) {
                if let Ok(UpstreamEvent::Request(_)) = upstream.events.recv_timeout(20 * MS) {
                    arrivals.push(Instant::now());
                }
            }
            arrivals
        });
        faults();
        is_over.store(true, Ordering::Relaxed);
        Traffic { arrivals: observer.join().unwrap(), statuses: client.join().unwrap() }
    })
}

/// The watch call is never answered, the upstream drains, and every later call fails as this mode says. Nothing may be
/// sent to the upstream once the grace has passed.
fn assert_nothing_is_sent_after_the_grace(mode: Mode) {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = FaultyDiscovery::start(&[&upstream]);
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let balancer = options.start_with(&configuration(&options));
    discovery.wait_for_watch();
    let (draining, mut drained_at) = (upstream.address, Instant::now());
    let traffic = request_during(&balancer, upstream, || {
        sleep(500 * MS);
        discovery.silence_open_connections();
        discovery.set_mode(mode);
        drained_at = discovery.drain(draining);
        sleep(MAX_LIST_DELAY + GRACE_AND_TOLERANCE + OBSERVATION_TIME);
    });
    let last_sent_after = traffic.last_arrival() - drained_at;
    assert!(
        last_sent_after <= MAX_LIST_DELAY + GRACE_AND_TOLERANCE,
        "{mode:?}: sent {last_sent_after:?} after the drain"
    );
}

#[test]
fn an_upstream_drained_while_calls_are_refused_gets_nothing_after_the_grace() {
    assert_nothing_is_sent_after_the_grace(Mode::Refuses);
}

#[test]
fn an_upstream_drained_while_calls_are_reset_gets_nothing_after_the_grace() {
    assert_nothing_is_sent_after_the_grace(Mode::Resets);
}

#[test]
fn an_upstream_drained_while_lists_are_invalid_gets_nothing_after_the_grace() {
    assert_nothing_is_sent_after_the_grace(Mode::SendsInvalidLists);
}

/// How long after SIGHUP a balancer must act on the list of a discovery at a new address.
const MAX_LIST_DELAY_AFTER_MOVE: Duration = Duration::from_millis(4000);

#[test]
fn an_upstream_drained_while_a_moved_discovery_refuses_calls_gets_nothing_after_the_grace() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let (old_discovery, new_discovery) =
        (FaultyDiscovery::start(&[&upstream]), FaultyDiscovery::start(&[&upstream]));
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = old_discovery.address;
    let balancer = options.start_with(&configuration(&options));
    old_discovery.wait_for_watch();
    options.discovery = new_discovery.address;
    let (draining, mut moved_at) = (upstream.address, Instant::now());
    let traffic = request_during(&balancer, upstream, || {
        sleep(500 * MS);
        new_discovery.set_mode(Mode::Refuses);
        new_discovery.drain(draining);
        moved_at = Instant::now();
        balancer.reconfigure(&configuration(&options));
        sleep(MAX_LIST_DELAY_AFTER_MOVE + GRACE_AND_TOLERANCE + OBSERVATION_TIME);
    });
    let last_sent_after = traffic.last_arrival() - moved_at;
    assert!(
        last_sent_after <= MAX_LIST_DELAY_AFTER_MOVE + GRACE_AND_TOLERANCE,
        "sent {last_sent_after:?} after SIGHUP"
    );
}

/// The known list of a new process is as old as the last list that the previous process received.
#[test]
fn a_restarted_process_sends_nothing_on_its_known_list_while_calls_are_refused() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = FaultyDiscovery::start(&[&upstream]);
    discovery.set_mode(Mode::Refuses);
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let with_known_version = configuration(&options).replace("\"rev\":0,", "\"rev\":1,");
    let balancer = options.start_with(&with_known_version);
    assert_eq!(balancer.health_status(), "503", "clients should use another balancer");
    for n in 0..20 {
        assert_eq!(balancer.request(&format!("early{n}"), "order").status(), "503");
        sleep(50 * MS);
    }
    assert_eq!(upstream.take_requests().len(), 0);
    discovery.set_mode(Mode::Answers);
    wait_until("the balancer is ready", || balancer.health_status() == "200");
    assert_eq!(balancer.request("late", "browse").status(), "200");
}

/// Long enough for the longest retry delay, two calls that hang and the grace.
const OUTAGE_DURATION: Duration = Duration::from_secs(15);

/// Guards against a fleet that stops serving because discovery has failed. While discovery cannot be reached, balancers
/// cannot learn of changes and go on with the list that they have.
fn assert_all_is_served_through_an_outage(mode: Mode) {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = FaultyDiscovery::start(&[&upstream]);
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let balancer = options.start_with(&configuration(&options));
    discovery.wait_for_watch();
    let traffic = request_during(&balancer, upstream, || {
        sleep(500 * MS);
        discovery.silence_open_connections();
        discovery.set_mode(mode);
        sleep(OUTAGE_DURATION);
    });
    let failed = traffic.statuses.iter().filter(|status| *status != "200").count();
    assert_eq!(failed, 0, "{mode:?}: failed of {} requests", traffic.statuses.len());
}

#[test]
fn all_requests_are_served_while_discovery_is_down() {
    assert_all_is_served_through_an_outage(Mode::Down);
}

#[test]
fn all_requests_are_served_while_discovery_hangs() {
    assert_all_is_served_through_an_outage(Mode::Hangs);
}
