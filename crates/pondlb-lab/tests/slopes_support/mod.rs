//! Helpers shared by the tests of `pondlb-lab slopes`: running the command and reading its results.

use std::process::{Command, Output};

use serde_json::Value;

/// The exit code of a run whose measured times are not meaningful.
pub const VOID: i32 = 3;

/// Runs `pondlb-lab slopes` with these arguments to its end.
pub fn slopes(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pondlb-lab")).arg("slopes").args(arguments).output().unwrap()
}

/// The series of a quantity in the result of a dimension.
pub fn series<'a>(result: &'a Value, quantity: &str) -> &'a Value {
    let all = result["series"].as_array().unwrap();
    all.iter().find(|series| series["quantity"] == quantity).unwrap_or_else(|| panic!("no {quantity}"))
}

/// The sizes of all points, with the largest one, which is left out of the fit, last.
pub fn sizes(series: &Value) -> Vec<f64> {
    let points = series["points"].as_array().unwrap();
    let all = points.iter().chain([&series["beyond"]["point"]]);
    all.map(|point| point["size"].as_f64().unwrap()).collect()
}

/// The values of all points, with that of the largest size last.
pub fn values(series: &Value) -> Vec<f64> {
    let points = series["points"].as_array().unwrap();
    let all = points.iter().chain([&series["beyond"]["point"]]);
    all.map(|point| point["value"].as_f64().unwrap_or_else(|| panic!("not measured: {series}"))).collect()
}
