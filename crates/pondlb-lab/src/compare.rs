//! Compares two builds that are played the same scenario with the same seeds, and says which differences are
//! statistically significant. No I/O.

#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::run::{ClassFigures, Report};
use crate::scenario::Scenario;

/// The reports of both builds for one seed.
pub struct Pair {
    /// The first build's.
    pub a: Report,
    /// The second build's.
    pub b: Report,
}

/// One figure of both builds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// What is compared, with its unit.
    pub figure: String,
    /// The mean over the first build's runs.
    pub a: f64,
    /// The mean over the second build's runs.
    pub b: f64,
    /// The mean of the paired differences, b less a.
    #[serde(rename = "mean")]
    pub mean_difference: f64,
    /// Half the width of the 95 % confidence interval around that mean.
    #[serde(rename = "spread")]
    pub confidence_radius: f64,
}

impl Difference {
    /// Whether the confidence interval excludes zero. With a single pair it is infinitely wide.
    pub fn is_significant(&self) -> bool {
        self.mean_difference.abs() > self.confidence_radius
    }
}

/// The 97.5th percentile of Student's t distribution, by degrees of freedom from one on.
const STUDENT_T: [f64; 15] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
];
/// The same percentile of the normal distribution, for more degrees of freedom.
const NORMAL_QUANTILE: f64 = 1.96;

/// Whether the first build runs first in this round. The order alternates, so that a machine that becomes slower over
/// time affects both builds alike.
pub fn a_is_first(round: usize) -> bool {
    round.is_multiple_of(2)
}

/// The differences of all figures. Pairs with a void run are left out.
pub fn differences(scenario: &Scenario, pairs: &[Pair]) -> Vec<Difference> {
    let valid: Vec<&Pair> =
        pairs.iter().filter(|pair| pair.a.void.is_none() && pair.b.void.is_none()).collect();
    let mut found = vec![difference("value in time", &valid, |report| value_in_time(scenario, report))];
    for (index, class) in scenario.classes.iter().enumerate() {
        let name = &class.name;
        found.push(difference(&format!("{name}, p50 ms"), &valid, |report| report.classes[index].p50_ms));
        found.push(difference(&format!("{name}, p99 ms"), &valid, |report| report.classes[index].p99_ms));
    }
    found.push(difference("postings a txn", &valid, |report| {
        let requests = report.classes.iter().map(|class| class.requests).sum::<usize>();
        report.attempts as f64 / requests.max(1) as f64
    }));
    found
}

/// The share of the value of all requests that was served within the SLA time.
pub fn value_in_time(scenario: &Scenario, report: &Report) -> f64 {
    let total_value = |count: fn(&ClassFigures) -> usize| {
        let classes = scenario.classes.iter().zip(&report.classes);
        classes.map(|(class, figures)| class.value * count(figures) as f64).sum::<f64>()
    };
    total_value(|class| class.in_time) / total_value(|class| class.requests).max(f64::MIN_POSITIVE)
}

fn difference(figure: &str, pairs: &[&Pair], value: impl Fn(&Report) -> f64) -> Difference {
    let count = pairs.len().max(1) as f64;
    let differences: Vec<f64> = pairs.iter().map(|pair| value(&pair.b) - value(&pair.a)).collect();
    let mean_difference = differences.iter().sum::<f64>() / count;
    let squares: f64 = differences.iter().map(|difference| (difference - mean_difference).powi(2)).sum();
    let confidence_radius = match pairs.len() {
        0 | 1 => f64::INFINITY,
        n => {
            let t = STUDENT_T.get(n - 2).copied().unwrap_or(NORMAL_QUANTILE);
            t * (squares / (count - 1.0) / count).sqrt()
        }
    };
    let mean = |of_pair: &dyn Fn(&Pair) -> f64| pairs.iter().map(|pair| of_pair(pair)).sum::<f64>() / count;
    Difference {
        figure: figure.into(),
        a: mean(&|pair| value(&pair.a)),
        b: mean(&|pair| value(&pair.b)),
        mean_difference,
        confidence_radius,
    }
}

/// The differences as a text table.
pub fn table(differences: &[Difference], pairs: &[Pair]) -> String {
    let mut text = format!("{:<22}{:>10}{:>10}{:>11}{:>10}\n", "figure", "a", "b", "b - a", "spread");
    for difference in differences {
        let remark = if difference.is_significant() { "" } else { "  not significant" };
        text += &format!(
            "{:<22}{:>10.3}{:>10.3}{:>+11.3}{:>10.3}{remark}\n",
            difference.figure,
            difference.a,
            difference.b,
            difference.mean_difference,
            difference.confidence_radius
        );
    }
    let void = pairs.iter().filter(|pair| pair.a.void.is_some() || pair.b.void.is_some()).count();
    let violations =
        |side: fn(&Pair) -> &Report| pairs.iter().map(|pair| side(pair).violations.len()).sum::<usize>();
    text += &format!("{} pairs, {void} of them void and left out\n", pairs.len());
    text + &format!(
        "broken rules: {} with a, {} with b\n",
        violations(|pair| &pair.a),
        violations(|pair| &pair.b)
    )
}
