//! The limits on connections and memory that are derived from the configuration.

use expect_test::expect;

use super::*;

#[test]
fn all_sides_together_keep_within_descriptors_and_memory() {
    let mut trace = String::new();
    for (memory_mb, sockets) in [(192, 1024), (64, 1024), (2048, 256), (192, 71), (16, 1024), (15, 1024)] {
        let budget = Budget::of(&Limits { memory_mb, sockets });
        trace += &format!("{memory_mb} MB, {sockets}: {budget:?}\n");
        if let Ok(Budget { clients, upstreams, memory, longest_list }) = budget {
            assert!(clients + upstreams + OWN_DESCRIPTORS <= sockets);
            assert!(longest_list * 14 < memory.max_bytes / 2 || longest_list == 1 << 20);
            assert!(memory.max_bytes as u64 + OWN_MEMORY < memory_mb << 20);
        }
    }
    expect![[r#"
        192 MB, 1024: Ok(Budget { clients: 651, upstreams: 325, memory: MemoryLimit { max_bytes: 125829120 }, longest_list: 3145728 })
        64 MB, 1024: Ok(Budget { clients: 651, upstreams: 325, memory: MemoryLimit { max_bytes: 36350634 }, longest_list: 1048576 })
        2048 MB, 256: Ok(Budget { clients: 139, upstreams: 69, memory: MemoryLimit { max_bytes: 1423267157 }, longest_list: 35581678 })
        192 MB, 71: Err("limits.sockets: 71 are too few to serve")
        16 MB, 1024: Ok(Budget { clients: 651, upstreams: 325, memory: MemoryLimit { max_bytes: 2796202 }, longest_list: 1048576 })
        15 MB, 1024: Err("limits.memory_mb: 15 are too few to serve")
    "#]]
    .assert_eq(&trace);
}
