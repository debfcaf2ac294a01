//! How many tasks a unit holds, by what it told with its answers. A relay that sends a unit one task in a while learns
//! nothing from what it has out there itself; the unit's own word, though late, shows which ones are over-full for
//! long. It is believed the less the older it is: nobody shuns a unit for what it was.

use std::time::Duration;

/// By this part of the difference belief follows a word, as that is late and noisy.
const FOLLOW: f64 = 0.3;
/// After this time little is left of what was told: queues come and go in about as long.
const FADE: Duration = Duration::from_secs(5);

/// A report of more tasks than that is none: no unit holds so many.
const MOST: f64 = 1e6;

/// What a load report's figure says; one out of range, or no number, says nothing.
pub fn valid_load(held: f64) -> Option<f64> {
    (0.0..=MOST).contains(&held).then_some(held)
}

/// What is believed of one unit.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadEstimate {
    told: Option<(f64, Duration)>,
}

impl LoadEstimate {
    /// How many it holds now, where those like it hold `usual`.
    pub fn at(&self, now: Duration, usual: f64) -> f64 {
        let Some((told, at)) = self.told else {
            return usual;
        };
        let age = now.saturating_sub(at).as_secs_f64() / FADE.as_secs_f64();
        usual + (told - usual) * (-age).exp()
    }

    /// It told that it holds so many.
    pub fn record(&mut self, held: f64, now: Duration, usual: f64) {
        let believed = self.at(now, usual);
        let follow = if self.told.is_some() { FOLLOW } else { 1.0 };
        self.told = Some((believed + (held - believed) * follow, now));
    }
}

/// What units usually hold, over the words of all.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalLoad(f64);

impl TypicalLoad {
    /// The mean of the last fifty words or so.
    pub fn record(&mut self, held: f64) {
        self.0 += (held - self.0) * 0.02;
    }

    pub fn value(&self) -> f64 {
        self.0
    }
}
