//! Ticks at equal intervals within a span of time.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Ticks at equal intervals from its creation to the end of a span.
pub struct Pacer {
    /// The time of the first tick.
    start: Instant,
    span: Duration,
    /// Ticks in the whole span.
    count: u32,
    /// Number of the next tick, from 0.
    next_number: u32,
}

impl Pacer {
    /// `count` ticks within the span, the first one immediately.
    pub fn with_count(count: u32, span: Duration) -> Pacer {
        Pacer { start: Instant::now(), span, count, next_number: 0 }
    }

    /// `per_second` ticks a second within the span, at least one.
    pub fn at_rate(per_second: f64, span: Duration) -> Pacer {
        let count = (per_second * span.as_secs_f64()).round().max(1.0);
        Pacer::with_count(count as u32, span)
    }

    /// Number of ticks in the whole span, including past ones.
    pub fn tick_count(&self) -> u32 {
        self.count
    }

    /// Waits for the next tick and returns its number, from 0; none after the last one.
    pub async fn next_tick(&mut self) -> Option<u32> {
        if self.next_number >= self.count {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        sleep_until(self.start + self.span.mul_f64(f64::from(number) / f64::from(self.count))).await;
        Some(number)
    }

    /// Waits for the end of the span.
    pub async fn wait_for_end(self) {
        sleep_until(self.start + self.span).await;
    }
}
