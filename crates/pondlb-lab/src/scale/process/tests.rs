use super::*;

#[test]
fn stat_and_status_fields_are_parsed_after_any_process_name() {
    let stat = "7 (a) b) S 1 7 7 0 -1 4194560 100 0 0 0 150 50 0 0 20 0 1 0 100 1 1";
    assert_eq!(parse_processor_seconds(stat), Some(2.0));
    assert_eq!(parse_processor_seconds("7 (a"), None);
    assert_eq!(parse_kilobytes("VmPeak:\t 9 kB\nVmRSS:\t 12 kB\n", "VmRSS:"), Some(12));
}
