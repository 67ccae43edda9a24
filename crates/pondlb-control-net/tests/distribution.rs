//! Distribution of changes from an origin through replica servers to followers, over loopback.

mod common;

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use common::*;
use pondlb_control::Key;
use pondlb_control_net::{FollowerConfig, Role, follow};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

#[test]
fn followers_of_an_origin_and_two_replica_servers_converge() {
    run_test(async {
        let origin = start_origin(7, upstreams(300));
        let replicas = [start_replica_server(&[origin.address]), start_replica_server(&[origin.address])];
        let servers = [origin.address, replicas[0].address, replicas[1].address];
        let followers: Vec<Follower> = (0..10).map(|number| Follower::start(&servers, number)).collect();
        wait_until("the first complete state", || followers.iter().all(|follower| follower.len() == 300))
            .await;
        for round in 0..5 {
            let changes = [
                set_upstream("s-00001", 1000 + round),
                set_upstream(&format!("new-{round}"), round),
                remove_upstream(&format!("s-0001{round}")),
            ];
            assert_eq!(status_code(&origin.commit(&changes).await), 200);
        }
        let expected = json_body(&get(origin.address, "/control/followers").await)["version"].clone();
        assert_eq!(expected, serde_json::json!({"epoch": 7, "revision": 315}));
        wait_until("all changes", || followers.iter().all(|follower| follower.version().revision == 315))
            .await;
        for follower in &followers {
            assert_eq!(follower.records(), followers[0].records());
            assert!(
                follower.has_upstream("s-00001", 1004)
                    && follower.has_upstream("new-4", 4)
                    && follower.value("s-00014").is_none()
            );
            let counters = follower.status.counters();
            // Requests may have failed: a replica server had no state yet when its first follower connected.
            assert_eq!(counters.rejected_responses + counters.repairs_started, 0, "{counters:?}");
            assert!(counters.in_sync && counters.bytes_sent > 500, "{counters:?}");
            // The uncompressed JSON of the records alone has 20 KB.
            assert!((2_000..10_000).contains(&counters.bytes_received), "{counters:?}");
        }
        let in_sync_followers = |response: &serde_json::Value| {
            response["followers"]
                .as_array()
                .unwrap()
                .iter()
                .filter(|follower| follower["in_sync"] == true)
                .count()
        };
        let start = Instant::now();
        loop {
            let mut in_sync = 0;
            for server in servers {
                in_sync += in_sync_followers(&json_body(&get(server, "/control/followers").await));
            }
            if in_sync >= 12 {
                break;
            }
            assert!(
                start.elapsed() < CONDITION_TIMEOUT,
                "{in_sync} of 10 followers and 2 replica servers are listed as in sync"
            );
            sleep(Duration::from_millis(20)).await;
        }
    });
}

#[test]
fn follower_yields_between_batches_of_records() {
    const BATCH_RECORDS: u64 = 64;
    run_test(async {
        let records = (0..500).map(|number| set_upstream(&format!("s-{number:05}"), number)).collect();
        let origin = start_origin(7, records);
        let validated = Rc::new(Cell::new(0));
        let (sender, mut deliveries) = mpsc::unbounded_channel();
        let validated_by_follower = validated.clone();
        let validate = move |_: &Key, _: Option<&str>| {
            validated_by_follower.set(validated_by_follower.get() + 1);
            Ok(())
        };
        let config = FollowerConfig::new(vec![origin.address], "b", 0);
        let mut follower = Box::pin(follow(config, validate, sender, Rc::default()));
        let max_per_poll = Rc::new(Cell::new(0));
        let (counted, max) = (validated.clone(), max_per_poll.clone());
        let follower = spawn_local(poll_fn(move |context| {
            let before = counted.get();
            let polled = follower.as_mut().poll(context);
            max.set(max.get().max(counted.get() - before));
            polled
        }));
        let update = deliveries.recv().await.unwrap().update;
        assert_eq!((update.changes.len(), validated.get()), (500, 500));
        assert_eq!(max_per_poll.get(), BATCH_RECORDS);
        follower.abort();
    });
}

#[test]
fn follower_fails_over_without_a_new_snapshot() {
    run_test(async {
        let origin = start_origin(7, upstreams(50));
        let replica = start_replica_server(&[origin.address]);
        wait_until("the replica server's state", || {
            replica.follower_status.as_ref().unwrap().counters().in_sync
        })
        .await;
        let follower = Follower::start(&[replica.address, origin.address], 0);
        wait_until("the first complete state", || follower.len() == 50).await;
        assert_eq!(follower.status.current_server(), Some(replica.address));
        let snapshots = follower.status.counters().snapshots_started;
        replica.stop().await;
        let stopped_at = Instant::now();
        origin.commit(&[set_upstream("s-00001", 77)]).await;
        wait_until("the change", || follower.has_upstream("s-00001", 77)).await;
        assert!(stopped_at.elapsed() < Duration::from_secs(10), "{:?}", stopped_at.elapsed());
        assert_eq!(
            follower.status.counters().snapshots_started,
            snapshots,
            "it requests changes, not a snapshot"
        );
    });
}

#[test]
fn follower_fails_over_from_an_unresponsive_server() {
    run_test(async {
        let unresponsive = start_scripted_server(|_| None);
        let origin = start_origin(7, upstreams(50));
        let follower = Follower::start(&[unresponsive, origin.address], 0);
        wait_until("the first complete state", || follower.len() == 50).await;
        assert!(follower.status.counters().failed_requests >= 1);
    });
}

#[test]
fn frequent_commits_are_sent_in_few_responses() {
    run_test(async {
        let origin = start_origin(7, upstreams(10));
        let follower = Follower::start(&[origin.address], 0);
        wait_until("the first complete state", || follower.len() == 10).await;
        let (before, start) = (follower.status.counters().applied_updates, Instant::now());
        for size in 0..100 {
            origin.commit(&[set_upstream("s-00001", size)]).await;
            sleep(Duration::from_millis(5)).await;
        }
        wait_until("the last change", || follower.has_upstream("s-00001", 99)).await;
        let updates = follower.status.counters().applied_updates - before;
        let max_updates = start.elapsed().as_millis() / 200 + 2;
        assert!(u128::from(updates) <= max_updates, "{updates} updates, at most {max_updates} expected");
    });
}

#[test]
fn large_update_is_sent_in_parts_without_delay() {
    run_test(async {
        let origin = start_origin(7, upstreams(10));
        let config = FollowerConfig {
            max_hold: Duration::from_secs(10),
            ..FollowerConfig::new(vec![origin.address], "b0", 0)
        };
        let follower = Follower::start_with(config);
        wait_until("the first complete state", || follower.len() == 10).await;
        // More than 20 responses of 16 KiB. With the minimum interval of 200 ms between them, they would take longer
        // than the limit below.
        origin.commit(&upstreams(6000)).await;
        let start = Instant::now();
        wait_until("all changes", || follower.len() == 6000).await;
        assert!(follower.status.counters().applied_updates > 10);
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    });
}

#[test]
fn replica_server_serves_while_disconnected_and_recovers_with_the_origin() {
    run_test(async {
        let first = start_origin(7, upstreams(50));
        let (address, commit_address) = (first.address, first.commit_address);
        let replica = start_replica_server(&[address]);
        let follower = Follower::start(&[replica.address], 0);
        wait_until("the first complete state", || follower.len() == 50).await;
        first.stop().await;
        let late = Follower::start(&[replica.address], 1);
        wait_until("the state of a follower that starts while the origin is down", || late.len() == 50).await;
        let response =
            get(replica.address, "/control/changes?name=x&epoch=7&from=50&digest=0000000000000000&hold_ms=0")
                .await;
        let stale_ms_before = json_body(&response)["stale_ms"].as_u64().unwrap();
        wait_until("the staleness of the replica server to reach its follower", || {
            late.status.staleness() > Duration::from_millis(stale_ms_before + 1500)
        })
        .await;
        let mut options = origin_options(8, upstreams(60));
        options.listen_address = address;
        if let Role::Origin { commit_address: new_commit_address, .. } = &mut options.role {
            *new_commit_address = commit_address;
        }
        let _restarted = TestServer::start(options);
        wait_until("the new epoch", || follower.len() == 60 && late.len() == 60).await;
        assert_eq!(follower.version().epoch, 8);
        wait_until("the staleness to end", || late.status.staleness() < Duration::from_secs(3)).await;
    });
}

#[test]
fn replica_server_without_a_state_responds_503() {
    run_test(async {
        let replica = start_replica_server(&[start_scripted_server(|_| None)]);
        let response = get(replica.address, "/control/snapshot").await;
        assert_eq!((status_code(&response), &*text_body(&response)), (503, "this server holds no state yet"));
        assert_eq!(response.head.single_value("Retry-After"), Ok(Some("1")));
    });
}

#[test]
fn keys_with_special_characters_work_across_snapshot_pages() {
    run_test(async {
        let special = |number: u64| set_upstream(&format!("a&b=c%20?#+/\"{number:05}"), number);
        let origin = start_origin(7, (0..2000).map(special).collect());
        let follower = Follower::start(&[origin.address], 0);
        wait_until("the first complete state", || follower.len() == 2000).await;
        assert!(follower.has_upstream("a&b=c%20?#+/\"01999", 1999));
        let counters = follower.status.counters();
        assert_eq!(
            (counters.snapshots_started, counters.rejected_responses, counters.failed_requests),
            (1, 0, 0),
            "{counters:?}"
        );
    });
}
