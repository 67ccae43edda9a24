//! Replica servers that come and go while changes flow.

mod common;

use std::time::Duration;

use common::*;
use nanorand::{Rng, WyRand};
use pondlb_control_net::ServerOptions;
use tokio::time::sleep;

const REPLICA_SERVERS: usize = 3;
const FOLLOWERS: u64 = 20;
const RECORDS: u64 = 500;
const ROUNDS: u64 = 60;

/// The same server again, at the address that its followers know.
fn back(origin: &Running, options: &ServerOptions, address: std::net::SocketAddr) -> Running {
    let role = replica_options(&[origin.address]).role;
    Running::start(ServerOptions { listen_address: address, role, ..options.clone() })
}

#[test]
fn followers_converge_whatever_replica_servers_are_lost_on_the_way() {
    run(async {
        let mut random = WyRand::new_seed(11);
        let origin = origin(7, records(RECORDS));
        let options: Vec<ServerOptions> =
            (0..REPLICA_SERVERS).map(|_| replica_options(&[origin.address])).collect();
        let mut replicas: Vec<Option<Running>> =
            options.iter().cloned().map(Running::start).map(Some).collect();
        let addresses: Vec<_> = replicas.iter().flatten().map(|replica| replica.address).collect();
        let followers: Vec<Follower> =
            (0..FOLLOWERS).map(|number| Follower::start(&addresses, number)).collect();
        for round in 0..ROUNDS {
            let name = format!("s-{:05}", random.generate_range(0..RECORDS));
            let change = if random.generate_range(0..4_u8) == 0 { remove(&name) } else { set(&name, round) };
            assert_eq!(status(&origin.commit(&[change]).await), 200);
            let at = random.generate_range(0..REPLICA_SERVERS * 4);
            if let Some(slot) = replicas.get_mut(at) {
                match slot.take() {
                    Some(replica) => replica.stop().await,
                    None => *slot = Some(back(&origin, &options[at], addresses[at])),
                }
            }
            sleep(Duration::from_millis(random.generate_range(0..100))).await;
        }
        for (at, slot) in replicas.iter_mut().enumerate() {
            if slot.is_none() {
                *slot = Some(back(&origin, &options[at], addresses[at]));
            }
        }
        let newest = RECORDS + ROUNDS;
        wait_for("all changes", || followers.iter().all(|follower| follower.version().revision == newest))
            .await;
        let reference = Follower::start(&[origin.address], 0);
        wait_for("a whole state from the origin", || reference.version().revision == newest).await;
        for follower in &followers {
            assert_eq!(follower.records(), reference.records());
            assert_eq!(follower.status.counters().rejected_responses, 0);
        }
    });
}
