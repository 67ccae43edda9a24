use super::*;

fn server(name: &str, port: u16) -> ReplicaServer {
    ReplicaServer { name: name.into(), address: SocketAddr::from(([127, 0, 0, 1], port)), region: 0 }
}

fn reading(at_us: u64, bytes: &[(u32, u64, u16)]) -> ByteCounts {
    let bytes = bytes.iter().map(|(balancer, moved, port)| BalancerBytes {
        balancer: *balancer,
        received: moved / 2,
        sent: moved - moved / 2,
        server: Some(SocketAddr::from(([127, 0, 0, 1], *port))),
    });
    ByteCounts { at_us, balancers: bytes.collect() }
}

#[test]
fn all_bytes_of_a_balancer_count_for_the_server_of_its_last_reading() {
    let servers = [server("first", 1), server("second", 2)];
    let readings = [
        reading(1_000_000, &[(0, 100, 1), (1, 100, 9)]),
        reading(1_500_000, &[(7, 0, 9)]),
        reading(3_000_000, &[(0, 300, 1), (1, 900, 1)]),
        reading(3_500_000, &[(7, 50, 9)]),
    ];
    let loads = ServerLoads::new(&servers, readings.iter(), 400.0);
    assert_eq!((loads.seconds, loads.without_server), (2.0, 1));
    let server_loads =
        loads.servers.iter().map(|load| (load.followers, load.bytes_per_second, load.of_share));
    assert!(server_loads.eq([(2, 500.0, 1.25), (0, 0.0, 0.0)]));
}

#[test]
fn a_single_reading_gives_a_rate_of_zero() {
    let readings = [reading(1_000_000, &[(0, 100, 1)])];
    let loads = ServerLoads::new(&[server("first", 1)], readings.iter(), 400.0);
    assert_eq!((loads.servers[0].followers, loads.servers[0].bytes_per_second), (1, 0.0));
}
