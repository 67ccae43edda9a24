//! Moments at equal distances within a span.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// The moments that have not come yet.
pub struct Pace {
    begun: Instant,
    span: Duration,
    count: u32,
    next: u32,
}

impl Pace {
    /// So many moments, the first at once.
    pub fn spread(count: u32, span: Duration) -> Pace {
        Pace { begun: Instant::now(), span, count, next: 0 }
    }

    /// So many moments a second, one at least.
    pub fn at_rate(per_second: f64, span: Duration) -> Pace {
        let count = (per_second * span.as_secs_f64()).round().max(1.0);
        Pace::spread(count as u32, span)
    }

    /// How many moments there are, those that have passed included.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Waits for the next moment and tells its number from 0; none after the last.
    pub async fn next(&mut self) -> Option<u32> {
        if self.next >= self.count {
            return None;
        }
        let number = self.next;
        self.next += 1;
        sleep_until(self.begun + self.span.mul_f64(f64::from(number) / f64::from(self.count))).await;
        Some(number)
    }

    /// Waits until the span is over.
    pub async fn end(self) {
        sleep_until(self.begun + self.span).await;
    }
}
