use pondlb::Tenths;

/// How long connections may stand idle before their upstreams, or something on the way, drop them unsaid: told
/// by what becomes of postings on kept ones. No I/O, no clock.
///
/// The danger is a posting written to a connection that is gone: it ends as a reset and may have run, so that a
/// once-only txn is lost for it. The settings' idle time can't be trusted alone.
#[derive(Debug, Default)]
pub struct IdleLife {
    /// By the power of two of the milliseconds that the connection had rested.
    ages: [Uses; AGES],
    halved: Tenths,
}

#[derive(Clone, Copy, Debug, Default)]
struct Uses {
    all: f64,
    lost: f64,
}

impl Uses {
    fn share(self) -> f64 {
        self.lost / self.all.max(1.0)
    }
}

const AGES: usize = 16;
/// What was learned fades: an upstream that has changed must not be mistrusted to the end of the day.
const HALVED_EVERY: Tenths = 100_000;
/// Beyond an age so many must have been lost, or a few resets that have nothing to do with age decide.
const FEWEST_LOST: f64 = 4.0;
/// And so many at that very age: how far below the others' it lies is told by itself alone.
const OWN_LOST: f64 = 2.0;
/// And this part of all there, and so many times the part lost at younger ages.
const LOST_SHARE: f64 = 0.15;
const TIMES_YOUNGER: f64 = 3.0;

impl IdleLife {
    /// A posting on a connection that had rested so long has ended; `lost` where that one broke with nothing said.
    pub fn used(&mut self, now: Tenths, rested: Tenths, lost: bool) {
        if now >= self.halved + HALVED_EVERY {
            self.halved = now;
            self.ages.iter_mut().for_each(|uses| (uses.all, uses.lost) = (uses.all / 2.0, uses.lost / 2.0));
        }
        let uses = &mut self.ages[age(rested)];
        uses.all += 1.0;
        uses.lost += f64::from(u8::from(lost));
    }

    /// The age from which connections are not used any more; none where age makes no difference.
    pub fn most(&self) -> Option<Tenths> {
        let sum = |ages: &[Uses]| {
            ages.iter().fold(Uses::default(), |a, b| Uses { all: a.all + b.all, lost: a.lost + b.lost })
        };
        let is_end = |at: &usize| {
            let (younger, older) = (sum(&self.ages[..*at]), sum(&self.ages[*at..]));
            let least = LOST_SHARE.max(TIMES_YOUNGER * younger.share());
            let own = self.ages[*at];
            older.lost >= FEWEST_LOST && older.share() > least && own.lost >= OWN_LOST && own.share() > least
        };
        (1..AGES).find(is_end).map(|at| 10 << (at - 1))
    }
}

/// Under a millisecond, under two, under four and so on.
fn age(rested: Tenths) -> usize {
    (rested / 10).checked_ilog2().map_or(0, |power| power as usize + 1).min(AGES - 1)
}

#[cfg(test)]
mod tests {
    use expect_test::expect;

    use super::*;

    /// Postings a tenth of a second apart; those on connections older than `life` are lost, and one in ten others.
    fn learned(count: u64, life: Tenths, rests: &[Tenths]) -> Option<Tenths> {
        let mut idle = IdleLife::default();
        for n in 0..count {
            let rested = rests[n as usize % rests.len()];
            idle.used(n * 1000, rested, rested > life || n % 10 == 9);
        }
        idle.most()
    }

    #[test]
    fn connections_dropped_unsaid_are_told_from_resets_that_come_at_any_age() {
        let rests = [5, 30, 90, 300, 900, 2500, 7000];
        expect![[r#"
            no drops: None
            dropped after 150 ms: Some(1280)
            dropped after 20 ms: Some(160)
            dropped after 150 ms, three seen: None
            only old ones used, all lost: Some(5120)
            only new ones used: None"#]]
        .assert_eq(&format!(
            "no drops: {:?}\ndropped after 150 ms: {:?}\ndropped after 20 ms: {:?}\ndropped after 150 ms, three seen: \
             {:?}\nonly old ones used, all lost: {:?}\nonly new ones used: {:?}",
            learned(140, 100_000, &rests),
            learned(140, 1500, &rests),
            learned(140, 200, &rests),
            learned(13, 1500, &rests),
            learned(20, 1500, &[7000]),
            learned(140, 1500, &[1]),
        ));
    }

    #[test]
    fn what_was_learned_fades_once_no_old_ones_are_used() {
        let mut idle = IdleLife::default();
        (0..20).for_each(|n| idle.used(n * 10, 7000, true));
        let mut trace = String::new();
        for second in (0..60).step_by(10) {
            (0..10).for_each(|n| idle.used(second * 10_000 + 300 + n, 30, false));
            trace += &format!("{second} s: {:?}\n", idle.most());
        }
        expect![[r#"
            0 s: Some(5120)
            10 s: Some(5120)
            20 s: Some(5120)
            30 s: None
            40 s: None
            50 s: None
        "#]]
        .assert_eq(&trace);
    }
}
