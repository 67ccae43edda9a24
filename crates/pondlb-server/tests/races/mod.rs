//! Race conditions on real connections: a test peer holds one event back until the other has happened, so that the
//! harmful order occurs every time. docs/races.md has a row for each.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use socket2::SockRef;

use super::MS;
use crate::helper::*;

/// The configuration of a balancer in a fleet of this size.
fn with_fleet_size(options: &BalancerOptions, balancers: u32) -> String {
    options.configuration().replace("\"Balancers\":1,", &format!("\"Balancers\":{balancers},"))
}

/// A change counts as announced six seconds after discovery had it, whatever became of the call that should have
/// returned it. Guards against a balancer that waits longer on a call that is never answered.
#[test]
fn an_unanswered_watch_call_is_replaced_within_6_s_in_a_large_fleet() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = Discovery::start();
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let balancer = options.start_with(&with_fleet_size(&options, 300));
    discovery.answer_with_list(&upstream_list(2, false, "active", &[upstream.address]));
    // The test discovery reads the next call and does not answer it.
    let call_count = || discovery.state.lock().unwrap().calls.len();
    wait_until("the watch continues", || call_count() == 2);
    let silent_since = Instant::now();
    while call_count() < 3 {
        assert!(silent_since.elapsed() < 6000 * MS, "the balancer still waits for the unanswered call");
        sleep(10 * MS);
    }
    drop(balancer);
}

/// Guards against a retry delay that has grown so long in an outage that a recovered discovery is not called in time.
#[test]
fn a_recovered_discovery_is_called_within_4_s_after_a_long_outage() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let mut options = BalancerOptions::new(&[&upstream]);
    let (socket, address) = bound_socket();
    options.discovery = address;
    let balancer = options.start_with(&with_fleet_size(&options, 300));
    sleep(13_000 * MS);
    let listener = start_listening(socket);
    let recovered = Instant::now();
    let mut call = accept(&listener);
    assert!(read_message(&mut call).unwrap().head.contains("/catalog/members?from=0&"));
    assert!(recovered.elapsed() < 4100 * MS, "called after {:?}", recovered.elapsed());
    let list = upstream_list(2, false, "leaving", &[upstream.address]);
    write!(call, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).unwrap();
    read_message(&mut call).expect("the watch continues");
    assert_eq!(balancer.request("a1", "order").status(), "503", "the only upstream drains");
    assert_eq!(upstream.take_requests().len(), 0);
}

/// What the discovery of a new configuration has counts as announced four seconds after SIGHUP, so it must be called
/// again soon if the first call to it is refused.
#[test]
fn a_refused_first_call_after_a_reload_is_retried_within_2_s() {
    let upstream = Upstream::start(ANSWER_HELLO);
    let discovery = Discovery::start();
    let mut options = BalancerOptions::new(&[&upstream]);
    options.discovery = discovery.address;
    let balancer = options.start();
    wait_until("a watch call is pending", || !discovery.state.lock().unwrap().calls.is_empty());
    let (socket, address) = bound_socket();
    options.discovery = address;
    balancer.reconfigure(&options.configuration());
    let signalled = Instant::now();
    // By then the first call has been refused, because the socket does not listen yet.
    sleep(300 * MS);
    let mut call = accept(&start_listening(socket));
    assert!(read_message(&mut call).unwrap().head.starts_with("GET /catalog/members HTTP"));
    assert!(signalled.elapsed() < 2000 * MS, "{:?}", signalled.elapsed());
}

/// The configuration without cancelling of attempts, and with enough time for a connection that is established late.
fn without_cancelling(options: &BalancerOptions) -> String {
    let text = options.configuration().replace("\"DialTimeoutNs\":250000000", "\"DialTimeoutNs\":3000000000");
    let text = text.replace("\"DrainGraceNs\":500000000", "\"DrainGraceNs\":6000000000");
    text.replace("\"Cancelling\":true", "\"Cancelling\":false")
}

/// Opens the listener and returns the first bytes that are written on the connections that are established then, or
/// `None` if there are none.
fn first_bytes_after_opening(unresponsive: FullBacklogListener) -> Option<String> {
    let opened = Instant::now();
    let listener = unresponsive.open();
    listener.set_nonblocking(true).unwrap();
    let mut streams = Vec::new();
    while opened.elapsed() < 2500 * MS {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).unwrap();
            streams.push(stream);
        }
        for stream in &mut streams {
            let mut bytes = [0; 128];
            if let Ok(count @ 1..) = stream.read(&mut bytes) {
                return Some(String::from_utf8_lossy(&bytes[..count]).into());
            }
        }
        sleep(5 * MS);
    }
    assert!(!streams.is_empty());
    None
}

/// Guards against work that no client waits for: the connection is established after the client has left.
#[test]
fn a_request_whose_client_leaves_while_connecting_is_not_sent() {
    let upstream = full_backlog_listener();
    let mut options = BalancerOptions::new(&[]);
    options.known.push(upstream.address);
    let balancer = options.start_with(&without_cancelling(&options));
    let mut client = balancer.connect();
    client.send(&Client::request_text("a1", "order", 1900));
    sleep(50 * MS);
    drop(client);
    assert_eq!(first_bytes_after_opening(upstream), None);
}

/// Guards against work whose answer is not needed: the hedge's connection is established after the first attempt was
/// answered.
#[test]
fn a_hedge_still_connecting_when_the_first_attempt_is_answered_is_not_sent() {
    let (first, second, discovery) =
        (Upstream::start(UpstreamBehavior::AnswerOnDemand), full_backlog_listener(), Discovery::start());
    let mut options = BalancerOptions::new(&[&first]);
    options.discovery = discovery.address;
    let balancer = options.start_with(&without_cancelling(&options));
    let mut client = balancer.connect();
    client.send(&Client::request_text("a1", "browse", 1900));
    while !matches!(first.next_event(), UpstreamEvent::Request(_)) {}
    discovery.answer_with_list(&upstream_list(2, false, "active", &[second.address]));
    // The hedge is started after half the SLA time, 750 ms.
    sleep(900 * MS);
    first.answers.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi").unwrap();
    assert_eq!(client.read().unwrap().body, "hi");
    assert_eq!(first_bytes_after_opening(second), None);
}

/// While the process is stopped the connection is established and the client leaves. Guards against sending the request
/// when the process sees both events at once.
#[test]
fn a_request_whose_client_leaves_while_the_process_is_stopped_is_not_sent() {
    let upstream = full_backlog_listener();
    let mut options = BalancerOptions::new(&[]);
    options.known.push(upstream.address);
    let balancer = options
        .start_with(&without_cancelling(&options).replace("\"Cancelling\":false", "\"Cancelling\":true"));
    let mut client = balancer.connect();
    client.send(&Client::request_text("a1", "order", 1900));
    sleep(50 * MS);
    balancer.signal("STOP");
    let sent = thread::spawn(move || first_bytes_after_opening(upstream));
    sleep(1500 * MS);
    drop(client);
    sleep(50 * MS);
    balancer.signal("CONT");
    assert_eq!(sent.join().unwrap(), None);
}

/// Guards against the incident described in docs/incidents/copied-request-id.md: a client that sends the id of another
/// client's open request and leaves at once takes that request's answer with it. While the process is stopped the copy and
/// the end of its connection arrive, so that the process sees both together.
#[test]
fn a_client_that_copies_the_id_of_an_open_request_and_leaves_does_not_close_that_request() {
    let upstream = Upstream::start(UpstreamBehavior::AnswerOnDemand);
    let balancer = BalancerOptions::new(&[&upstream]).start();
    for way in ["closes", "ends-its-side", "resets"] {
        let mut client = balancer.connect();
        client.send(&Client::request_text(way, "order", 1900));
        while !matches!(upstream.next_event(), UpstreamEvent::Request(_)) {}
        balancer.signal("STOP");
        let mut copy = balancer.connect();
        copy.send(&Client::request_text(way, "order", 1900));
        match way {
            "closes" => {}
            "ends-its-side" => copy.stream.shutdown(Shutdown::Write).unwrap(),
            _ => SockRef::from(&copy.stream).set_linger(Some(Duration::ZERO)).unwrap(),
        }
        let half_closed = (way == "ends-its-side").then_some(copy);
        balancer.signal("CONT");
        sleep(50 * MS);
        upstream.answers.send(HELLO_RESPONSE).unwrap();
        let answer = client.read().unwrap_or_else(|| panic!("{way}: the connection ends without an answer"));
        assert_eq!(answer.status(), "200", "{way}");
        drop(half_closed);
    }
}

/// Guards against work for a client that pipelined many bytes and left: unread bytes must not hide the end of its
/// connection.
#[test]
fn a_client_that_leaves_after_pipelining_more_than_is_buffered_is_detected() {
    let upstream = Upstream::start(UpstreamBehavior::Silent);
    let balancer = BalancerOptions::new(&[&upstream]).start();
    // The second amount is as much as the kernel's buffers take, so that the close waits behind it.
    let cases = [8000, 400_000]
        .into_iter()
        .flat_map(|lines| ["closes", "ends its side", "resets"].map(|way| (way, lines)));
    for (way, lines) in cases {
        let mut client = balancer.connect();
        let id = format!("{way}-{lines}").replace(' ', "-");
        client.send(&Client::request_text(&id, "order", 60_000));
        while !matches!(upstream.next_event(), UpstreamEvent::Request(_)) {}
        client.send(&"GET / HTTP/1.1\r\n".repeat(lines));
        sleep(50 * MS);
        match way {
            "closes" => {}
            "ends its side" => client.stream.shutdown(Shutdown::Write).unwrap(),
            _ => SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap(),
        }
        let client_left = Instant::now();
        let _half_closed = (way == "ends its side").then_some(client);
        while !matches!(upstream.next_event(), UpstreamEvent::Closed) {}
        assert!(client_left.elapsed() < 100 * MS, "{id}: {:?}", client_left.elapsed());
    }
}

/// Guards against a reset that destroys an answer which the client has not read yet: a request arrives on an idle
/// connection that the balancer has just closed.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_resets_nothing_and_is_not_served() {
    // The balancer still reads for 200 ms after it has closed its side. A round in which the test itself was delayed
    // for about as long does not exercise the race and is repeated.
    let is_exercised = (0..10).any(|_| {
        let upstream = Upstream::start(ANSWER_HELLO);
        let balancer = BalancerOptions::new(&[&upstream]).start();
        let mut client = balancer.connect();
        client.send(&Client::request_text("a1", "order", 2000));
        while !matches!(upstream.next_event(), UpstreamEvent::Request(_)) {}
        // The answer stays unread until the connection has ended.
        balancer.signal("TERM");
        let last_seen_open = wait_for_close(&client.stream);
        let sent = (0..3).all(|_| {
            sleep(10 * MS);
            client.stream.write_all(Client::request_text("a2", "order", 2000).as_bytes()).is_ok()
        });
        if last_seen_open.elapsed() > 150 * MS {
            return false;
        }
        assert!(sent, "the balancer still reads");
        assert_eq!(client.read().expect("the answer is still readable").body, "hello");
        assert!(client.closes_within_timeout(), "the connection ends without a reset");
        assert!(upstream.take_requests().is_empty());
        true
    });
    assert!(is_exercised, "the machine is too busy for this test");
}

/// Guards against idle clients that leave no descriptor for health checks, discovery or upstreams, and against evicting
/// clients when no connection is needed.
#[test]
fn idle_clients_are_evicted_only_for_new_ones_and_health_is_always_answered() {
    let upstream = Upstream::start(UpstreamBehavior::Silent);
    let mut options = BalancerOptions::new(&[&upstream]);
    let (socket, discovery) = bound_socket();
    (options.sockets, options.max_descriptors, options.discovery) = (200, 200, discovery);
    // A deadline that no request reaches during the test.
    let long_expiry = options.configuration().replace("\"ExpiryNs\":2000000000", "\"ExpiryNs\":60000000000");
    let balancer = options.start_with(&long_expiry);
    // Of the 200 descriptors the program reserves 48, and a third of the rest is for connections to upstreams: 102
    // clients use up the others.
    let mut clients: Vec<Client> = (0..102).map(|_| balancer.connect()).collect();
    for client in &mut clients {
        client.send("GET /_health HTTP/1.1\r\nHost: b\r\n\r\n");
        assert_eq!(client.read().unwrap().status(), "200");
    }
    sleep(500 * MS);
    let evicted_count =
        |clients: &[Client]| clients.iter().filter(|client| is_closed_by_peer(&client.stream)).count();
    assert_eq!(evicted_count(&clients), 0);
    assert_eq!(balancer.health_status(), "200");
    wait_until("one client is evicted", || evicted_count(&clients) == 1);
    clients.retain(|client| !is_closed_by_peer(&client.stream));
    clients.push(balancer.connect());
    // Each expects 100 Continue before it sends its body. Once it has received that, its connection counts as busy.
    for (n, client) in clients.iter_mut().enumerate() {
        let request = Client::request_text(&format!("a{n}"), "order", 60_000);
        let head = request.replace("Content-Length", "Expect: 100-continue\r\nContent-Length");
        client.send(head.strip_suffix("work").unwrap());
    }
    for client in &mut clients {
        assert_eq!(client.read().unwrap().status(), "100");
        client.send("work");
    }
    // By now each request is sent to the upstream or held, and keeps its client's connection busy.
    sleep(200 * MS);
    let stopwatch = Stopwatch::start(&balancer);
    assert_eq!(balancer.health_status(), "200");
    assert_eq!(balancer.request("b1", "order").status(), "503");
    assert!(stopwatch.elapsed() < 300 * MS, "{:?}", stopwatch.elapsed());
    // As many new clients as there are descriptors, while discovery recovers.
    let _more: Vec<Client> = (0..200).map(|_| balancer.connect()).collect();
    let mut call = accept(&start_listening(socket));
    assert!(read_message(&mut call).unwrap().head.contains("/catalog/members?from=0&"));
}

/// The minimum time for which a connection to an upstream stays idle before it is reused.
const MIN_IDLE_BEFORE_REUSE: Duration = Duration::from_millis(10);

/// The connection on which the next request arrives.
enum NextRequest {
    OnNewConnection(TcpStream),
    OnSameConnection,
}

/// Waits for the next request, on a new connection or on this one.
fn wait_for_next_request(listener: &TcpListener, stream: &TcpStream) -> NextRequest {
    listener.set_nonblocking(true).unwrap();
    stream.set_nonblocking(true).unwrap();
    let start = Instant::now();
    let next = loop {
        if matches!(stream.peek(&mut [0]), Ok(1..)) {
            break NextRequest::OnSameConnection;
        }
        if let Ok((new_stream, _)) = listener.accept() {
            new_stream.set_nonblocking(false).unwrap();
            new_stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
            break NextRequest::OnNewConnection(new_stream);
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "a request arrives within the timeout");
        sleep(MS);
    };
    stream.set_nonblocking(false).unwrap();
    next
}

/// Guards against a client that gets another request's answer: a faulty upstream sends a second answer on a connection,
/// which must not carry the next request by then.
#[test]
fn a_late_second_answer_is_not_given_to_another_request() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut options = BalancerOptions::new(&[]);
    options.known.push(listener.local_addr().unwrap());
    let balancer = options.start();
    let mut client = balancer.connect();
    let answer = |text| format!("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{text}");
    let (mut exercised_rounds, mut rounds) = (0, 0);
    while exercised_rounds < 5 {
        assert!(rounds < 50, "the machine is too busy for this test");
        rounds += 1;
        // Both requests are pipelined: the second is forwarded as soon as the first is answered, even if the test is
        // delayed.
        let both = ["a", "b"].map(|name| Client::request_text(&format!("{name}{rounds}"), "order", 2000));
        client.send(&both.concat());
        let mut first = accept(&listener);
        read_message(&mut first).unwrap();
        let answered = Instant::now();
        first.write_all(answer("a1").as_bytes()).unwrap();
        match wait_for_next_request(&listener, &first) {
            NextRequest::OnNewConnection(mut second) => {
                read_message(&mut second).unwrap();
                first.write_all(answer("??").as_bytes()).unwrap();
                second.write_all(answer("b1").as_bytes()).unwrap();
                exercised_rounds += 1;
            }
            // The balancer was delayed between the two requests, so the connection was idle long enough to be reused.
            // This round does not exercise the race.
            NextRequest::OnSameConnection => {
                assert!(answered.elapsed() >= MIN_IDLE_BEFORE_REUSE, "reused after {:?}", answered.elapsed());
                read_message(&mut first).unwrap();
                first.write_all(answer("b1").as_bytes()).unwrap();
            }
        }
        assert_eq!(client.read().unwrap().body, "a1");
        assert_eq!(client.read().unwrap().body, "b1");
        drop(first);
        sleep(2 * MIN_IDLE_BEFORE_REUSE);
    }
}

/// Guards against an effect that happens twice: the connection of a retry is established after the time for which
/// upstreams recognise the request's id.
#[test]
fn a_keyed_retry_that_connects_after_its_deduplication_window_is_not_sent() {
    let (listener, second, discovery) =
        (TcpListener::bind("127.0.0.1:0").unwrap(), full_backlog_listener(), Discovery::start());
    let mut options = BalancerOptions::new(&[]);
    options.known.push(listener.local_addr().unwrap());
    options.discovery = discovery.address;
    let keyed = r#""Schemes":[{"Name":"amend","Effect":"deduplicated","DedupScope":"all","KeyTtlNs":300000000,
        "SlaTimeNs":1500000000,"ExpiryNs":2000000000,"Value":1.0},"#;
    let balancer = options.start_with(&without_cancelling(&options).replace("\"Schemes\":[", keyed));
    let mut client = balancer.connect();
    client.send(&Client::request_text("a1", "amend", 1900));
    let mut first = accept(&listener);
    read_message(&mut first).unwrap();
    discovery.answer_with_list(&upstream_list(2, false, "active", &[second.address]));
    sleep(50 * MS);
    // The request may have run. Its retry can only be sent to the other upstream.
    SockRef::from(&first).set_linger(Some(Duration::ZERO)).unwrap();
    drop(first);
    // If the second upstream were opened earlier, it could receive a retry within the window, which is allowed.
    sleep(300 * MS);
    let status = thread::spawn(move || client.read().expect("an answer").status().to_string());
    assert_eq!(first_bytes_after_opening(second), None);
    assert_eq!(status.join().unwrap(), "503");
}

/// Guards against a request that is accepted and never answered: its last byte, SIGTERM twice and SIGHUP arrive in one
/// turn of the event loop, while a hedge is in progress and neither upstream answers.
#[test]
fn a_request_completed_as_sigterm_arrives_is_answered_despite_further_signals() {
    let (first, second) =
        (Upstream::start(UpstreamBehavior::Silent), Upstream::start(UpstreamBehavior::Silent));
    let options = BalancerOptions::new(&[&first, &second]);
    let mut balancer = options.start();
    let (mut hedged, mut crossing, mut incomplete) =
        (balancer.connect(), balancer.connect(), balancer.connect());
    hedged.send(&Client::request_text("a1", "browse", 2000));
    let request = Client::request_text("a2", "browse", 2000);
    crossing.send(request.strip_suffix('k').unwrap());
    incomplete.send(&Client::request_text("a3", "order", 2000).replace("work", ""));
    // By then the hedge of the first request is in progress too.
    sleep(900 * MS);
    balancer.signal("STOP");
    crossing.send("k");
    ["TERM", "TERM", "HUP", "CONT"].iter().for_each(|signal| balancer.signal(signal));
    let signalled = Instant::now();
    sleep(100 * MS);
    incomplete.send("wo");
    balancer.signal("HUP");
    balancer.signal("TERM");
    for client in [&mut hedged, &mut crossing] {
        assert_eq!(client.read().expect("a final answer").status(), "503");
    }
    assert!(balancer.is_running() && signalled.elapsed() < 2400 * MS, "{:?}", signalled.elapsed());
    // The client that never completes its body must not delay the exit: SIGKILL comes 2.7 s after SIGTERM.
    let (status, log) = balancer.wait_for_exit();
    assert!(status.success() && signalled.elapsed() < 2700 * MS, "{:?} {log}", signalled.elapsed());
}

/// Guards against a program that is killed before it has answered, with short deadlines too: SIGKILL comes at the
/// earliest after the longest deadline and 0.7 s, counted from SIGTERM.
#[test]
fn after_sigterm_requests_with_deadlines_of_100_ms_to_3_s_are_answered_before_sigkill() {
    let runs = [100, 500, 1000, 3000].map(|deadline_ms| {
        thread::spawn(move || {
            let upstream = Upstream::start(UpstreamBehavior::Silent);
            let options = BalancerOptions::new(&[&upstream]);
            let deadline = format!("\"ExpiryNs\":{deadline_ms}000000");
            let balancer =
                options.start_with(&options.configuration().replace("\"ExpiryNs\":2000000000", &deadline));
            let mut idle = balancer.connect();
            idle.request("a0", "order");
            let mut client = balancer.connect();
            client.send(&Client::request_text("a1", "order", deadline_ms));
            balancer.signal("TERM");
            let (signalled, stopwatch) = (Instant::now(), Stopwatch::start(&balancer));
            let answered_after = client.read().map(|_| stopwatch.elapsed());
            let mut requests = 0;
            while signalled.elapsed() < deadline_ms as u32 * MS
                && idle.try_request(&format!("b{requests}"), 40)
            {
                requests += 1;
            }
            let success = balancer.wait_for_exit().0.success();
            (deadline_ms as u32, answered_after, success, signalled.elapsed())
        })
    });
    for run in runs {
        let (deadline_ms, answered_after, success, exited_after) = run.join().unwrap();
        assert!(answered_after.expect("a final answer") < (deadline_ms + 100) * MS);
        assert!(
            success && exited_after < (deadline_ms + 700) * MS,
            "{deadline_ms} ms: exited after {exited_after:?}"
        );
    }
}

/// Guards against an attempt that is sent to an upstream after it started to drain, because its connection was being
/// established meanwhile.
#[test]
fn an_attempt_still_connecting_when_its_upstream_starts_to_drain_is_retried_elsewhere() {
    let (draining, other, discovery) =
        (full_backlog_listener(), Upstream::start(ANSWER_HELLO), Discovery::start());
    let mut options = BalancerOptions::new(&[]);
    options.known.push(draining.address);
    options.discovery = discovery.address;
    let balancer = options.start_with(&without_cancelling(&options));
    let mut client = balancer.connect();
    client.send(&Client::request_text("a1", "order", 1900));
    sleep(50 * MS);
    discovery.answer_with_list(&upstream_list(2, false, "active", &[other.address]));
    let announced = Instant::now();
    discovery.answer_with_list(&upstream_list(3, false, "leaving", &[draining.address]));
    assert_eq!(client.read().unwrap().body, "hello");
    assert!(announced.elapsed() < 500 * MS, "{:?}", announced.elapsed());
    assert_eq!(first_bytes_after_opening(draining), None);
}
