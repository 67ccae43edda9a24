//! Server order, backoff and failback of a rotation.

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::Rotation;

const SERVER_COUNT: usize = 15;
const CALLER_COUNT: u64 = 1500;

fn callers() -> Vec<Rotation> {
    (0..CALLER_COUNT).map(|number| Rotation::new(SERVER_COUNT, number, 7)).collect()
}

fn callers_per_server(callers: &[Rotation]) -> BTreeMap<usize, usize> {
    let mut callers_per_server = BTreeMap::new();
    callers.iter().for_each(|caller| *callers_per_server.entry(caller.current_server()).or_default() += 1);
    callers_per_server
}

#[test]
fn preferred_servers_are_balanced() {
    let callers_per_server = callers_per_server(&callers());
    assert_eq!(callers_per_server.len(), SERVER_COUNT);
    assert!(callers_per_server.values().all(|callers| *callers == 100));
}

#[test]
fn callers_of_failed_server_are_balanced_over_the_rest() {
    let mut callers = callers();
    callers.iter_mut().filter(|caller| caller.current_server() == 3).for_each(|caller| {
        caller.fail_over();
    });
    let callers_per_server = callers_per_server(&callers);
    assert_eq!(callers_per_server.len(), SERVER_COUNT - 1);
    assert!(
        callers_per_server.values().all(|callers| (107..=108).contains(callers)),
        "{callers_per_server:?}"
    );
}

/// Makes every caller fail over until its server is not one of the failed ones.
fn fail_over_from(callers: &mut [Rotation], failed_servers: &[usize]) {
    for caller in callers {
        while failed_servers.contains(&caller.current_server()) {
            caller.fail_over();
        }
        caller.record_success();
    }
}

/// The servers of a failed zone may be adjacent in the list or spread over it.
#[test]
fn callers_of_several_failed_servers_are_balanced_over_the_rest() {
    for failed_servers in
        [vec![3], vec![3, 4, 5, 6, 7], vec![1, 3, 5, 7, 9], vec![13, 14, 0, 1, 2], vec![0, 5, 6, 12, 13]]
    {
        let mut callers = callers();
        fail_over_from(&mut callers, &failed_servers);
        let callers_per_server = callers_per_server(&callers);
        let remaining_servers = SERVER_COUNT - failed_servers.len();
        assert_eq!(callers_per_server.len(), remaining_servers);
        let even_share = CALLER_COUNT as usize / remaining_servers;
        assert!(
            callers_per_server.values().all(|callers| *callers < even_share + even_share / 8),
            "{failed_servers:?}: {callers_per_server:?}"
        );
        callers.iter_mut().for_each(Rotation::fail_back);
        assert!(
            self::callers_per_server(&callers).values().all(|callers| *callers == 100),
            "{failed_servers:?}"
        );
    }
}

/// Three of the seven servers of a region have failed.
#[test]
fn callers_are_balanced_over_few_remaining_servers() {
    let mut callers: Vec<_> = (0..750).map(|number| Rotation::new(7, number, 7)).collect();
    fail_over_from(&mut callers, &[2, 3, 4]);
    let callers_per_server = callers_per_server(&callers);
    assert_eq!(callers_per_server.len(), 4);
    assert!(
        callers_per_server.values().all(|callers| (167..=207).contains(callers)),
        "{callers_per_server:?}"
    );
}

#[test]
fn each_round_uses_every_server_once() {
    for number in 0..100 {
        let mut rotation = Rotation::new(SERVER_COUNT, number, 7);
        let preferred_server = rotation.current_server();
        for _ in 0..3 {
            let mut used_servers = Vec::new();
            for _ in 0..SERVER_COUNT {
                used_servers.push(rotation.current_server());
                rotation.fail_over();
            }
            assert_eq!(used_servers[0], preferred_server);
            used_servers.sort();
            assert!(used_servers.into_iter().eq(0..SERVER_COUNT));
        }
    }
}

#[test]
fn backoff_doubles_each_round_up_to_maximum() {
    let mut rotation = Rotation::new(2, 0, 7);
    let mut backoffs = |times: usize| -> Vec<Duration> { (0..times).map(|_| rotation.fail_over()).collect() };
    for round in 0..7 {
        let max_backoff = Duration::from_millis(100 << round);
        assert!(backoffs(2).iter().all(|backoff| (max_backoff / 2..=max_backoff).contains(backoff)));
    }
    let max_backoff = Duration::from_secs(10);
    let last = backoffs(10_000);
    assert!(last.iter().all(|backoff| (max_backoff / 2..=max_backoff).contains(backoff)));
    assert!(last.iter().max() > last.iter().min(), "jittered");
}

#[test]
fn success_resets_backoff_and_keeps_server() {
    let mut rotation = Rotation::new(2, 0, 7);
    for _ in 0..9 {
        rotation.fail_over();
    }
    let server = rotation.current_server();
    rotation.record_success();
    assert_eq!(rotation.current_server(), server);
    assert!(rotation.fail_over() <= Duration::from_millis(100));
}

#[test]
fn failback_delays_are_spread() {
    let mut delays = Vec::new();
    for mut caller in callers() {
        assert_eq!(caller.failback_delay(), None);
        let preferred_server = caller.current_server();
        caller.fail_over();
        delays.push(caller.failback_delay().unwrap());
        caller.fail_back();
        assert_eq!(caller.current_server(), preferred_server);
    }
    delays.sort();
    assert!(delays[0] >= Duration::from_secs(30) && delays[0] < Duration::from_secs(32));
    let last = delays[delays.len() - 1];
    assert!(last <= Duration::from_secs(90) && last > Duration::from_secs(88));
}

#[test]
fn works_with_one_server_or_none() {
    for servers in [0, 1] {
        let mut rotation = Rotation::new(servers, 5, 7);
        assert_eq!(rotation.current_server(), 0);
        assert!(rotation.fail_over() <= Duration::from_millis(100));
        assert_eq!(rotation.current_server(), 0);
        assert_eq!(rotation.failback_delay(), None);
        assert!(rotation.fail_over() > Duration::from_millis(99));
    }
}
