//! Which server is asked, and how long is waited.

use std::collections::BTreeMap;
use std::time::Duration;

use pondlb_control::Rotation;

const SERVERS: usize = 15;
const CALLERS: u64 = 1500;

fn callers() -> Vec<Rotation> {
    (0..CALLERS).map(|number| Rotation::new(SERVERS, number, 7)).collect()
}

fn load(callers: &[Rotation]) -> BTreeMap<usize, usize> {
    let mut load = BTreeMap::new();
    callers.iter().for_each(|caller| *load.entry(caller.current_server()).or_default() += 1);
    load
}

#[test]
fn homes_spread_evenly() {
    let load = load(&callers());
    assert_eq!(load.len(), SERVERS);
    assert!(load.values().all(|callers| *callers == 100));
}

#[test]
fn the_callers_of_a_lost_server_spread_over_the_rest() {
    let mut callers = callers();
    callers.iter_mut().filter(|caller| caller.current_server() == 3).for_each(|caller| {
        caller.fail_over();
    });
    let load = load(&callers);
    assert_eq!(load.len(), SERVERS - 1);
    assert!(load.values().all(|callers| (107..=108).contains(callers)), "{load:?}");
}

/// Lets every caller go on until it asks a server that is not lost.
fn lose(callers: &mut [Rotation], lost: &[usize]) {
    for caller in callers {
        while lost.contains(&caller.current_server()) {
            caller.fail_over();
        }
        caller.record_success();
    }
}

/// A zone's servers may stand side by side or be spread over the list.
#[test]
fn the_callers_of_many_lost_servers_spread_over_the_rest() {
    for lost in
        [vec![3], vec![3, 4, 5, 6, 7], vec![1, 3, 5, 7, 9], vec![13, 14, 0, 1, 2], vec![0, 5, 6, 12, 13]]
    {
        let mut callers = callers();
        lose(&mut callers, &lost);
        let load = load(&callers);
        let left = SERVERS - lost.len();
        assert_eq!(load.len(), left);
        let even = CALLERS as usize / left;
        assert!(load.values().all(|callers| *callers < even + even / 8), "{lost:?}: {load:?}");
        callers.iter_mut().for_each(Rotation::fail_back);
        assert!(self::load(&callers).values().all(|callers| *callers == 100), "{lost:?}");
    }
}

/// The servers of one region, of which most are lost.
#[test]
fn few_servers_that_are_left_are_asked_alike() {
    let mut callers: Vec<_> = (0..750).map(|number| Rotation::new(7, number, 7)).collect();
    lose(&mut callers, &[2, 3, 4]);
    let load = load(&callers);
    assert_eq!(load.len(), 4);
    assert!(load.values().all(|callers| (167..=207).contains(callers)), "{load:?}");
}

#[test]
fn each_round_asks_every_server_once() {
    for number in 0..100 {
        let mut rotation = Rotation::new(SERVERS, number, 7);
        let home = rotation.current_server();
        for _ in 0..3 {
            let mut asked = Vec::new();
            for _ in 0..SERVERS {
                asked.push(rotation.current_server());
                rotation.fail_over();
            }
            assert_eq!(asked[0], home);
            asked.sort();
            assert!(asked.into_iter().eq(0..SERVERS));
        }
    }
}

#[test]
fn waits_double_with_each_round_up_to_a_bound() {
    let mut rotation = Rotation::new(2, 0, 7);
    let mut waits = |times: usize| -> Vec<Duration> { (0..times).map(|_| rotation.fail_over()).collect() };
    for round in 0..7 {
        let longest = Duration::from_millis(100 << round);
        assert!(waits(2).iter().all(|wait| (longest / 2..=longest).contains(wait)));
    }
    let longest = Duration::from_secs(10);
    let last = waits(10_000);
    assert!(last.iter().all(|wait| (longest / 2..=longest).contains(wait)));
    assert!(last.iter().max() > last.iter().min(), "jittered");
}

#[test]
fn success_ends_the_backoff_and_keeps_the_server() {
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
fn callers_return_home_at_spread_times() {
    let mut spans = Vec::new();
    for mut caller in callers() {
        assert_eq!(caller.failback_delay(), None);
        let home = caller.current_server();
        caller.fail_over();
        spans.push(caller.failback_delay().unwrap());
        caller.fail_back();
        assert_eq!(caller.current_server(), home);
    }
    spans.sort();
    assert!(spans[0] >= Duration::from_secs(30) && spans[0] < Duration::from_secs(32));
    let last = spans[spans.len() - 1];
    assert!(last <= Duration::from_secs(90) && last > Duration::from_secs(88));
}

#[test]
fn one_server_or_none() {
    for servers in [0, 1] {
        let mut rotation = Rotation::new(servers, 5, 7);
        assert_eq!(rotation.current_server(), 0);
        assert!(rotation.fail_over() <= Duration::from_millis(100));
        assert_eq!(rotation.current_server(), 0);
        assert_eq!(rotation.failback_delay(), None);
        assert!(rotation.fail_over() > Duration::from_millis(99));
    }
}
