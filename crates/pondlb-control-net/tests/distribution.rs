//! Origin, replica servers and followers on loopback.

mod common;

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use common::*;
use pondlb_control::Key;
use pondlb_control_net::{FollowerConfig, follow};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

#[test]
fn followers_of_an_origin_and_two_replica_servers_converge() {
    run(async {
        let origin = origin(7, records(300));
        let replicas = [replica_server(&[origin.address]), replica_server(&[origin.address])];
        let servers = [origin.address, replicas[0].address, replicas[1].address];
        let followers: Vec<Follower> = (0..10).map(|number| Follower::start(&servers, number)).collect();
        wait_for("the first whole state", || followers.iter().all(|follower| follower.len() == 300)).await;
        for round in 0..5 {
            let changes = [
                set("s-00001", 1000 + round),
                set(&format!("new-{round}"), round),
                remove(&format!("s-0001{round}")),
            ];
            assert_eq!(status(&origin.commit(&changes).await), 200);
        }
        let expected = json(&get(origin.address, "/control/followers").await)["version"].clone();
        assert_eq!(expected, serde_json::json!({"epoch": 7, "revision": 315}));
        wait_for("all changes", || followers.iter().all(|follower| follower.version().revision == 315)).await;
        for follower in &followers {
            assert_eq!(follower.records(), followers[0].records());
            assert!(
                follower.holds("s-00001", 1004)
                    && follower.holds("new-4", 4)
                    && follower.value("s-00014").is_none()
            );
            let counters = follower.status.counters();
            // A replica server may not have had its first state when its first caller came.
            assert_eq!(counters.rejected_responses + counters.repairs_started, 0, "{counters:?}");
            assert!(counters.in_sync && counters.bytes_sent > 500, "{counters:?}");
            // Plain JSON of the records alone is 20 KB.
            assert!((2_000..10_000).contains(&counters.bytes_received), "{counters:?}");
        }
        let told = |list: &serde_json::Value| {
            list["followers"].as_array().unwrap().iter().filter(|row| row["in_sync"] == true).count()
        };
        let start = Instant::now();
        loop {
            let mut in_sync = 0;
            for server in servers {
                in_sync += told(&json(&get(server, "/control/followers").await));
            }
            if in_sync >= 12 {
                break;
            }
            assert!(
                start.elapsed() < SOON,
                "all followers and replica servers are told as in sync: {in_sync}"
            );
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn a_follower_checks_a_slice_of_a_piece_in_one_turn() {
    const MOST_IN_A_TURN: u64 = 64;
    run(async {
        let records = (0..500).map(|number| set(&format!("s-{number:05}"), number)).collect();
        let origin = origin(7, records);
        let checked = Rc::new(Cell::new(0));
        let (deliver, mut delivered) = mpsc::unbounded_channel();
        let count = checked.clone();
        let check = move |_: &Key, _: Option<&str>| {
            count.set(count.get() + 1);
            Ok(())
        };
        let following = FollowerConfig::new(vec![origin.address], "b", 0);
        let mut follower = Box::pin(follow(following, check, deliver, Rc::default()));
        let most_in_a_turn = Rc::new(Cell::new(0));
        let (counted, most) = (checked.clone(), most_in_a_turn.clone());
        let follower = spawn_local(poll_fn(move |context| {
            let before = counted.get();
            let polled = follower.as_mut().poll(context);
            most.set(most.get().max(counted.get() - before));
            polled
        }));
        let update = delivered.recv().await.unwrap().update;
        assert_eq!((update.changes.len(), checked.get()), (500, 500));
        assert_eq!(most_in_a_turn.get(), MOST_IN_A_TURN);
        follower.abort();
    });
}

#[test]
fn a_follower_whose_server_is_killed_goes_on_at_the_next() {
    run(async {
        let origin = origin(7, records(50));
        let replica = replica_server(&[origin.address]);
        wait_for("the replica server's state", || replica.status.as_ref().unwrap().counters().in_sync).await;
        let follower = Follower::start(&[replica.address, origin.address], 0);
        wait_for("the first whole state", || follower.len() == 50).await;
        assert_eq!(follower.status.current_server(), Some(replica.address));
        let snapshots = follower.status.counters().snapshots_started;
        replica.stop().await;
        let killed = Instant::now();
        origin.commit(&[set("s-00001", 77)]).await;
        wait_for("the change", || follower.holds("s-00001", 77)).await;
        assert!(killed.elapsed() < Duration::from_secs(10), "{:?}", killed.elapsed());
        assert_eq!(follower.status.counters().snapshots_started, snapshots, "it goes on from what it has");
    });
}

#[test]
fn a_silent_server_holds_nobody_up() {
    run(async {
        let silent = scripted(|_| None);
        let origin = origin(7, records(50));
        let follower = Follower::start(&[silent, origin.address], 0);
        wait_for("the first whole state", || follower.len() == 50).await;
        assert!(follower.status.counters().failed_requests >= 1);
    });
}

#[test]
fn a_storm_of_changes_makes_few_answers() {
    run(async {
        let origin = origin(7, records(10));
        let follower = Follower::start(&[origin.address], 0);
        wait_for("the first whole state", || follower.len() == 10).await;
        let (before, start) = (follower.status.counters().applied_updates, Instant::now());
        for size in 0..100 {
            origin.commit(&[set("s-00001", size)]).await;
            sleep(Duration::from_millis(5)).await;
        }
        wait_for("the last change", || follower.holds("s-00001", 99)).await;
        let updates = follower.status.counters().applied_updates - before;
        let most = start.elapsed().as_millis() / 200 + 2;
        assert!(u128::from(updates) <= most, "{updates} updates, {most} at most");
    });
}

#[test]
fn many_changes_come_in_pieces_at_once() {
    run(async {
        let origin = origin(7, records(10));
        let following = FollowerConfig {
            max_hold: Duration::from_secs(10),
            ..FollowerConfig::new(vec![origin.address], "b0", 0)
        };
        let follower = Follower::with(following);
        wait_for("the first whole state", || follower.len() == 10).await;
        // More than 20 pieces of 16 KiB; each gathered for 200 ms they would take longer than this.
        origin.commit(&records(6000)).await;
        let start = Instant::now();
        wait_for("all changes", || follower.len() == 6000).await;
        assert!(follower.status.counters().applied_updates > 10);
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    });
}

#[test]
fn a_replica_server_that_is_cut_off_serves_on_and_is_back_when_the_origin_is() {
    run(async {
        let first = origin(7, records(50));
        let (address, commit) = (first.address, first.commit);
        let replica = replica_server(&[address]);
        let follower = Follower::start(&[replica.address], 0);
        wait_for("the first whole state", || follower.len() == 50).await;
        first.stop().await;
        let late = Follower::start(&[replica.address], 1);
        wait_for("the state of one who comes while it is cut off", || late.len() == 50).await;
        let told =
            get(replica.address, "/control/changes?name=x&epoch=7&from=50&digest=0000000000000000&hold_ms=0")
                .await;
        let before = json(&told)["stale_ms"].as_u64().unwrap();
        wait_for("staleness is told on", || late.status.staleness() > Duration::from_millis(before + 1500))
            .await;
        let mut options = origin_options(8, records(60));
        options.listen_address = address;
        if let pondlb_control_net::Role::Origin { commit_address: at, .. } = &mut options.role {
            *at = commit;
        }
        let _back = Running::start(options);
        wait_for("the new epoch", || follower.len() == 60 && late.len() == 60).await;
        assert_eq!(follower.version().epoch, 8);
        wait_for("all is fresh", || late.status.staleness() < Duration::from_secs(3)).await;
    });
}

#[test]
fn a_replica_server_without_a_state_turns_callers_away() {
    run(async {
        let replica = replica_server(&[scripted(|_| None)]);
        let answer = get(replica.address, "/control/snapshot").await;
        assert_eq!((status(&answer), &*text(&answer)), (503, "this server holds no state yet"));
        assert_eq!(answer.head.single_value("Retry-After"), Ok(Some("1")));
    });
}

#[test]
fn keys_of_odd_characters_are_carried_between_pieces() {
    run(async {
        let odd = |number: u64| set(&format!("a&b=c%20?#+/\"{number:05}"), number);
        let origin = origin(7, (0..2000).map(odd).collect());
        let follower = Follower::start(&[origin.address], 0);
        wait_for("the first whole state", || follower.len() == 2000).await;
        assert!(follower.holds("a&b=c%20?#+/\"01999", 1999));
        let counters = follower.status.counters();
        assert_eq!(
            (counters.snapshots_started, counters.rejected_responses, counters.failed_requests),
            (1, 0, 0),
            "{counters:?}"
        );
    });
}
