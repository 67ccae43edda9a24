//! Tests for balancers whose list discovery does not confirm in time (the incident described in
//! docs/incidents/stale-list.md), with real processes and connections: nothing may be sent to an upstream that drained
//! meanwhile, and an outage of discovery must not stop traffic.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::MS;
use crate::crowd::Crowd;
use crate::discovery::{Ending, FaultyDiscovery, Mode};
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
                if let Ok(UpstreamEvent::Request(request)) = upstream.events.recv_timeout(20 * MS) {
                    arrivals.push(request.received_at);
                }
            }
            arrivals
        });
        faults();
        is_over.store(true, Ordering::Relaxed);
        Traffic { arrivals: observer.join().unwrap(), statuses: client.join().unwrap() }
    })
}

/// The watch call is never answered, the upstream drains, and with every later call happens what this mode says. Nothing
/// may be sent to the upstream once the grace has passed.
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

#[test]
fn an_upstream_drained_while_calls_fail_with_503_after_a_long_wait_gets_nothing_after_the_grace() {
    assert_nothing_is_sent_after_the_grace(Mode::FailsLate(Ending::Status503));
}

#[test]
fn an_upstream_drained_while_calls_are_reset_after_a_long_wait_gets_nothing_after_the_grace() {
    assert_nothing_is_sent_after_the_grace(Mode::FailsLate(Ending::Reset));
}

/// Guards against the incident described in docs/incidents/slow-discovery.md: calls that have not ended when the balancer
/// gives them up are taken for an outage, and requests go on to upstreams that drain. Covers times on both sides of the
/// balancer's own limits, answers and failures.
#[test]
fn an_upstream_drained_while_calls_take_long_gets_nothing_after_the_grace() {
    thread::scope(|scope| {
        for wait in [1000, 1250, 2250, 2600, 2900, 3300].map(Duration::from_millis) {
            let late_503 = Mode::FailsAfter(wait, Ending::Status503);
            for mode in [Mode::AnswersAfter(wait), late_503, Mode::FailsAfter(wait, Ending::Reset)] {
                scope.spawn(move || assert_nothing_is_sent_after_the_grace(mode));
            }
        }
    });
}

/// How long discovery is slow before the drain, so that no watch from before it is left.
const SLOW_TIME_BEFORE_DRAIN: Duration = Duration::from_millis(4000);

/// Guards against the incident described in docs/incidents/slow-discovery.md, and against a fleet that stops serving only
/// because discovery is slow: one of two upstreams drains, and the other one goes on.
#[test]
fn a_slow_discovery_hides_no_drain_and_stops_nobody() {
    thread::scope(|scope| {
        for wait in [1250, 2600, 2900].map(Duration::from_millis) {
            for fleet_size in [1, 91] {
                scope.spawn(move || assert_slow_discovery_is_followed(wait, fleet_size));
            }
        }
    });
}

fn assert_slow_discovery_is_followed(wait: Duration, fleet_size: u32) {
    let (upstream, other_upstream) = (Upstream::start(ANSWER_HELLO), Upstream::start(ANSWER_HELLO));
    let discovery = FaultyDiscovery::start(&[&upstream, &other_upstream]);
    let mut options = BalancerOptions::new(&[&upstream, &other_upstream]);
    options.discovery = discovery.address;
    let configuration = options.configuration();
    let balancer = options
        .start_with(&configuration.replace("\"Balancers\":1,", &format!("\"Balancers\":{fleet_size},")));
    discovery.wait_for_watch();
    let (draining, mut drained_at) = (upstream.address, Instant::now());
    let traffic = request_during(&balancer, upstream, || {
        discovery.set_mode(Mode::AnswersAfter(wait));
        sleep(SLOW_TIME_BEFORE_DRAIN);
        drained_at = discovery.drain(draining);
        sleep(MAX_LIST_DELAY + GRACE_AND_TOLERANCE + OBSERVATION_TIME);
    });
    let case = format!("calls of {wait:?}, {fleet_size} balancers");
    let last_sent_after = traffic.last_arrival().saturating_duration_since(drained_at);
    assert!(
        last_sent_after <= MAX_LIST_DELAY + GRACE_AND_TOLERANCE,
        "{case}: sent {last_sent_after:?} after"
    );
    let served = traffic.statuses.iter().filter(|status| *status == "200").count();
    assert_eq!(served, traffic.statuses.len(), "{case}: served of all requests");
}

/// The balancers that compete with one for discovery's answers, from a fleet whose calls are all answered within the lease
/// to those of which most are not.
const CROWDS: [Crowd; 5] = [
    Crowd { other_callers: 5, time_per_call: Duration::from_millis(500) },
    Crowd { other_callers: 29, time_per_call: Duration::from_millis(400) },
    Crowd { other_callers: 139, time_per_call: Duration::from_millis(190) },
    Crowd { other_callers: 299, time_per_call: Duration::from_millis(60) },
    Crowd { other_callers: 899, time_per_call: Duration::from_millis(30) },
];

/// After this time the calls of a crowd are spread over time.
const CROWD_FORMATION_TIME: Duration = Duration::from_millis(4000);

/// A watch is lost and an upstream drains, while discovery answers the calls of a crowd in turn; those that wait for
/// too long fail. Returns how often the balancer's calls failed so.
fn assert_nothing_is_sent_after_the_grace_in_a_crowd(crowd: Crowd, ending: Ending) -> u64 {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = FaultyDiscovery::start(&[&upstream]);
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let fleet_size = format!("\"Balancers\":{},", crowd.other_callers + 1);
    let balancer = options.start_with(&options.configuration().replace("\"Balancers\":1,", &fleet_size));
    discovery.wait_for_watch();
    let (draining, mut drained_at) = (upstream.address, Instant::now());
    let traffic = request_during(&balancer, upstream, || {
        discovery.admit_crowd(crowd, ending);
        sleep(CROWD_FORMATION_TIME);
        discovery.silence_open_connections();
        sleep(500 * MS);
        drained_at = discovery.drain(draining);
        sleep(MAX_LIST_DELAY + GRACE_AND_TOLERANCE + OBSERVATION_TIME);
    });
    let last_sent_after = traffic.last_arrival().saturating_duration_since(drained_at);
    assert!(
        last_sent_after <= MAX_LIST_DELAY + GRACE_AND_TOLERANCE,
        "{crowd:?}, {ending:?}: sent {last_sent_after:?} after the drain"
    );
    discovery.state().late_failures
}

/// Guards against the incident described in docs/incidents/crowded-discovery.md: calls that wait for too long in the queue
/// of a crowded discovery are taken for an outage, and requests go on to upstreams that drain.
#[test]
fn nothing_is_sent_after_the_grace_in_crowds_of_many_sizes() {
    let late_failures: Vec<u64> = thread::scope(|scope| {
        let cases = CROWDS.into_iter().flat_map(|crowd| {
            [Ending::Status503, Ending::Reset].map(|ending| {
                scope.spawn(move || assert_nothing_is_sent_after_the_grace_in_a_crowd(crowd, ending))
            })
        });
        let cases: Vec<_> = cases.collect();
        cases.into_iter().map(|case| case.join().unwrap()).collect()
    });
    // With both endings, all crowds but the smallest one keep the balancer's calls waiting in vain.
    assert!(late_failures[2..].iter().all(|count| *count > 0), "the crowds are too small: {late_failures:?}");
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

/// What happens to discovery in an outage that balancers can tell from a crowd.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// Nobody listens at its address.
    Stopped,
    /// It accepts calls and answers none.
    Hangs,
}

/// Guards against a fleet that stops serving because discovery has failed. While discovery cannot be reached, balancers
/// cannot learn of changes and go on with the list that they have.
fn assert_all_is_served_through_an_outage(outage: Outage) {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = FaultyDiscovery::start(&[&upstream]);
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let balancer = options.start_with(&configuration(&options));
    discovery.wait_for_watch();
    let traffic = request_during(&balancer, upstream, || {
        sleep(500 * MS);
        discovery.silence_open_connections();
        let _address_reservation = match outage {
            Outage::Stopped => Some(discovery.stop()),
            Outage::Hangs => {
                discovery.set_mode(Mode::Hangs);
                None
            }
        };
        sleep(OUTAGE_DURATION);
    });
    let failed = traffic.statuses.iter().filter(|status| *status != "200").count();
    assert_eq!(failed, 0, "{outage:?}: failed of {} requests", traffic.statuses.len());
}

#[test]
fn all_requests_are_served_while_nobody_listens_at_the_address_of_discovery() {
    assert_all_is_served_through_an_outage(Outage::Stopped);
}

#[test]
fn all_requests_are_served_while_discovery_hangs() {
    assert_all_is_served_through_an_outage(Outage::Hangs);
}

/// When a balancer must be serving again after discovery has come back: the longest wait between two calls, a call that
/// was made before and fails, and a tolerance.
const MAX_RECOVERY_TIME: Duration = Duration::from_millis(1500 + 2000 + 500);
/// How long a list may be relied on at least after its last confirmation: 6.35 s, less the second after which a watch is
/// answered and the delay of that answer.
const MIN_LEASE: Duration = Duration::from_millis(6350 - 1000 - 250);

/// Guards against a fleet that stops serving sooner than it has to, or longer than it has to, in an outage that can't be
/// told from a crowd: calls fail with 503 after a long wait.
#[test]
fn requests_are_served_until_the_lease_ends_and_soon_after_an_outage_that_looks_like_a_crowd() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = FaultyDiscovery::start(&[&upstream]);
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let balancer = options.start_with(&configuration(&options));
    discovery.wait_for_watch();
    let mut number = 0;
    let mut is_served = || {
        number += 1;
        sleep(REQUEST_INTERVAL);
        balancer.request(&format!("r{number}"), "browse").status() == "200"
    };
    discovery.silence_open_connections();
    discovery.set_mode(Mode::FailsLate(Ending::Status503));
    let outage_began = Instant::now();
    while outage_began.elapsed() < MIN_LEASE {
        assert!(is_served(), "rejected {:?} after the begin of the outage", outage_began.elapsed());
    }
    while outage_began.elapsed() < OUTAGE_DURATION {
        is_served();
    }
    assert!(!is_served(), "nothing is sent on a list that may be stale");
    discovery.set_mode(Mode::Answers);
    let recovered = Instant::now();
    while !is_served() {
        assert!(recovered.elapsed() < MAX_RECOVERY_TIME, "still rejected after the outage");
    }
}
