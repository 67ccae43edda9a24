//! The limits on connections and memory that are derived from the configuration.

use expect_test::expect;

use super::*;

#[test]
fn connections_lists_and_memory_stay_within_the_configured_limits() {
    let mut trace = String::new();
    for (memory_mb, sockets) in [(192, 1024), (64, 1024), (2048, 256), (192, 71), (16, 1024), (15, 1024)] {
        let budget = Budget::from_limits(&LimitsSection { memory_mb, sockets });
        trace += &format!("{memory_mb} MB, {sockets}: {budget:?}\n");
        if let Ok(Budget {
            client_connections,
            upstream_connections,
            memory,
            max_list_bytes,
            max_request_ids,
        }) = budget
        {
            assert!(client_connections + upstream_connections + RESERVED_DESCRIPTORS <= sockets);
            assert!(max_list_bytes * 14 < memory.max_bytes / 2 || max_list_bytes == 1 << 20);
            assert!(max_request_ids * RequestIds::BYTES_PER_ID <= memory.max_bytes / 8);
            assert!(memory.max_bytes as u64 + UNCOUNTED_MEMORY_BYTES < memory_mb << 20);
        }
    }
    expect![[r#"
        192 MB, 1024: Ok(Budget { client_connections: 651, upstream_connections: 325, memory: MemoryLimit { max_bytes: 125829120 }, max_list_bytes: 3145728, max_request_ids: 245760 })
        64 MB, 1024: Ok(Budget { client_connections: 651, upstream_connections: 325, memory: MemoryLimit { max_bytes: 36350634 }, max_list_bytes: 1048576, max_request_ids: 70997 })
        2048 MB, 256: Ok(Budget { client_connections: 139, upstream_connections: 69, memory: MemoryLimit { max_bytes: 1423267157 }, max_list_bytes: 35581678, max_request_ids: 2779818 })
        192 MB, 71: Err("limits.sockets: 71 are too few to serve")
        16 MB, 1024: Ok(Budget { client_connections: 651, upstream_connections: 325, memory: MemoryLimit { max_bytes: 2796202 }, max_list_bytes: 1048576, max_request_ids: 5461 })
        15 MB, 1024: Err("limits.memory_mb: 15 are too few to serve")
    "#]]
    .assert_eq(&trace);
}
