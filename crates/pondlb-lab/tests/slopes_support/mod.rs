//! What tests of slopes share: the command line and its result.

use std::process::{Command, Output};

use serde_json::Value;

/// The exit code of a run whose times mean nothing.
pub const VOID: i32 = 3;

/// Runs `pondlb-lab slopes` to its end.
pub fn slopes(line: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).arg("slopes").args(line).output().unwrap()
}

/// The series of that quantity.
pub fn series<'a>(result: &'a Value, quantity: &str) -> &'a Value {
    let all = result["series"].as_array().unwrap();
    all.iter().find(|series| series["quantity"] == quantity).unwrap_or_else(|| panic!("no {quantity}"))
}

/// All sizes, the one beyond the line last.
pub fn sizes(series: &Value) -> Vec<f64> {
    let points = series["points"].as_array().unwrap();
    let all = points.iter().chain([&series["beyond"]["point"]]);
    all.map(|point| point["size"].as_f64().unwrap()).collect()
}

/// The values at all sizes, the one beyond the line last.
pub fn values(series: &Value) -> Vec<f64> {
    let points = series["points"].as_array().unwrap();
    let all = points.iter().chain([&series["beyond"]["point"]]);
    all.map(|point| point["value"].as_f64().unwrap_or_else(|| panic!("not measured: {series}"))).collect()
}
