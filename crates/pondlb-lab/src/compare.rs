//! Two builds on the same scenario and seeds, one after the other in turns, and what can be said of the
//! difference. No I/O here but through `play`, which is given.

#[cfg(test)]
mod tests;

use serde::Serialize;

use crate::run::Report;
use crate::scenario::Scenario;

/// Both sides' figures for one seed.
pub struct Pair {
    pub a: Report,
    pub b: Report,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    pub figure: String,
    /// Means of both sides.
    pub a: f64,
    pub b: f64,
    /// The mean of the paired differences, b less a, and how far it may lie off, at 95 %.
    pub mean: f64,
    pub spread: f64,
}

impl Difference {
    /// Whether the spread leaves out zero. One pair alone tells nothing.
    pub fn is_seen(&self) -> bool {
        self.mean.abs() > self.spread
    }
}

/// Student's t at 97.5 %, by degrees of freedom from one; the normal one beyond.
const STUDENT: [f64; 15] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
];

/// Whose turn it is in the round of one seed: A B, then B A, so that a machine that slows down hits both.
pub fn a_is_first(round: usize) -> bool {
    round.is_multiple_of(2)
}

/// Pairs in which a run was void tell nothing and are left out.
pub fn differences(scenario: &Scenario, pairs: &[Pair]) -> Vec<Difference> {
    let sound: Vec<&Pair> =
        pairs.iter().filter(|pair| pair.a.void.is_none() && pair.b.void.is_none()).collect();
    let mut found = vec![difference("value in time", &sound, |report| value_in_time(scenario, report))];
    for (number, class) in scenario.classes.iter().enumerate() {
        let name = &class.name;
        found.push(difference(&format!("{name}, p50 ms"), &sound, |report| report.classes[number].p50));
        found.push(difference(&format!("{name}, p99 ms"), &sound, |report| report.classes[number].p99));
    }
    found.push(difference("postings a txn", &sound, |report| {
        report.attempts as f64 / report.classes.iter().map(|f| f.asked).sum::<usize>().max(1) as f64
    }));
    found
}

/// The part of the value offered that was served within its SLA time.
pub fn value_in_time(scenario: &Scenario, report: &Report) -> f64 {
    let sum = |count: fn(&crate::run::Figures) -> usize| {
        let each = scenario.classes.iter().zip(&report.classes);
        each.map(|(class, figures)| class.value * count(figures) as f64).sum::<f64>()
    };
    sum(|f| f.in_time) / sum(|f| f.asked).max(f64::MIN_POSITIVE)
}

fn difference(figure: &str, pairs: &[&Pair], of: impl Fn(&Report) -> f64) -> Difference {
    let count = pairs.len().max(1) as f64;
    let each: Vec<f64> = pairs.iter().map(|pair| of(&pair.b) - of(&pair.a)).collect();
    let mean = each.iter().sum::<f64>() / count;
    let squares: f64 = each.iter().map(|d| (d - mean).powi(2)).sum();
    let spread = match pairs.len() {
        0 | 1 => f64::INFINITY,
        n => STUDENT.get(n - 2).copied().unwrap_or(1.96) * (squares / (count - 1.0) / count).sqrt(),
    };
    let side = |of: &dyn Fn(&Pair) -> f64| pairs.iter().map(|pair| of(pair)).sum::<f64>() / count;
    Difference {
        figure: figure.into(),
        a: side(&|pair| of(&pair.a)),
        b: side(&|pair| of(&pair.b)),
        mean,
        spread,
    }
}

/// As people read it.
pub fn table(differences: &[Difference], pairs: &[Pair]) -> String {
    let mut text = format!("{:<22}{:>10}{:>10}{:>11}{:>10}\n", "figure", "a", "b", "b less a", "spread");
    for d in differences {
        let says = if d.is_seen() { "" } else { "  no difference seen" };
        text +=
            &format!("{:<22}{:>10.3}{:>10.3}{:>+11.3}{:>10.3}{says}\n", d.figure, d.a, d.b, d.mean, d.spread);
    }
    let void = pairs.iter().filter(|pair| pair.a.void.is_some() || pair.b.void.is_some()).count();
    let broken = |of: fn(&Pair) -> &Report| pairs.iter().map(|pair| of(pair).broken.len()).sum::<usize>();
    text += &format!("{} pairs, {void} of them void and left out\n", pairs.len());
    text + &format!("broken rules: {} with a, {} with b\n", broken(|pair| &pair.a), broken(|pair| &pair.b))
}
