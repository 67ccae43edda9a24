//! Followers converge while replica servers stop and restart during commits.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use nanorand::{Rng, WyRand};
use pondlb_control_net::ServerOptions;
use tokio::time::sleep;

const REPLICA_SERVERS: usize = 3;
const FOLLOWERS: u64 = 20;
const RECORDS: u64 = 500;
const ROUNDS: u64 = 60;

/// Restarts a stopped replica server at its previous address, which its followers know.
fn restart(origin: &TestServer, options: &ServerOptions, address: SocketAddr) -> TestServer {
    let role = replica_options(&[origin.address]).role;
    TestServer::start(ServerOptions { listen_address: address, role, ..options.clone() })
}

#[test]
fn followers_converge_while_replica_servers_stop_and_restart() {
    run_test(async {
        let mut random = WyRand::new_seed(11);
        let origin = start_origin(7, upstreams(RECORDS));
        let options: Vec<ServerOptions> =
            (0..REPLICA_SERVERS).map(|_| replica_options(&[origin.address])).collect();
        let mut replicas: Vec<Option<TestServer>> =
            options.iter().cloned().map(TestServer::start).map(Some).collect();
        let addresses: Vec<_> = replicas.iter().flatten().map(|replica| replica.address).collect();
        let followers: Vec<Follower> =
            (0..FOLLOWERS).map(|number| Follower::start(&addresses, number)).collect();
        for round in 0..ROUNDS {
            let name = format!("s-{:05}", random.generate_range(0..RECORDS));
            let change = if random.generate_range(0..4_u8) == 0 {
                remove_upstream(&name)
            } else {
                set_upstream(&name, round)
            };
            assert_eq!(status_code(&origin.commit(&[change]).await), 200);
            let index = random.generate_range(0..REPLICA_SERVERS * 4);
            if let Some(slot) = replicas.get_mut(index) {
                match slot.take() {
                    Some(replica) => replica.stop().await,
                    None => *slot = Some(restart(&origin, &options[index], addresses[index])),
                }
            }
            sleep(Duration::from_millis(random.generate_range(0..100))).await;
        }
        for (index, slot) in replicas.iter_mut().enumerate() {
            if slot.is_none() {
                *slot = Some(restart(&origin, &options[index], addresses[index]));
            }
        }
        let newest_revision = RECORDS + ROUNDS;
        wait_until("all changes", || {
            followers.iter().all(|follower| follower.version().revision == newest_revision)
        })
        .await;
        let reference = Follower::start(&[origin.address], 0);
        wait_until("the complete state of the origin", || reference.version().revision == newest_revision)
            .await;
        for follower in &followers {
            assert_eq!(follower.records(), reference.records());
            assert_eq!(follower.status.counters().rejected_responses, 0);
        }
    });
}
