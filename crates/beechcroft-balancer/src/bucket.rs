//! Parts of bounds that hold over all relays together.

/// Further tries at a service: each first try earns a part of one. Parts of what a relay was itself asked sum
/// to that part of what all were asked, whoever is cut off; only the few held at the start do not, so they come
/// out of the rule's own extra, divided by the relays.
#[derive(Clone, Debug)]
pub struct Tries {
    earn: f64,
    most: f64,
    held: f64,
}

impl Tries {
    /// `budget` and `extra` as the rule has them; `relays` that may draw on it.
    pub fn new(budget: f64, extra: f64, relays: usize) -> Tries {
        let most = (extra / 2.0 / relays.max(1) as f64).clamp(0.0, 5.0);
        Tries {
            earn: budget * 0.75,
            most,
            held: most,
        }
    }

    pub fn asked(&mut self) {
        self.held = (self.held + self.earn).min(self.most);
    }

    /// Takes one if there is one.
    pub fn take(&mut self) -> bool {
        // Where a relay's part of the extra is less than one, it is taken on credit and earned back.
        let there = self.held >= self.most.min(1.0) && self.most > 0.0;
        self.held -= f64::from(u8::from(there));
        there
    }
}

/// One relay's part of a cold unit's bound.
#[derive(Clone, Debug, Default)]
pub struct Cold {
    held: f64,
    at: u64,
}

impl Cold {
    /// Takes one if there is one: `rate` a second, and no more than one at a time.
    pub fn take(&mut self, now: u64, rate: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.held = (self.held + passed * rate).min(1.0);
        self.at = now;
        let there = self.held >= 1.0;
        self.held -= f64::from(u8::from(there));
        there
    }
}

/// Paces large answers over a thin link, so that small ones need not queue behind them: bytes are given out one piece
/// after the other, at a part of the link's rate. Times are microseconds.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    bytes_per_s: f64,
    free_at: f64,
}

impl Flow {
    pub fn new(bytes_per_s: f64) -> Flow {
        Flow {
            bytes_per_s,
            free_at: 0.0,
        }
    }

    /// How long a piece of so many bytes has to wait for its turn.
    pub fn wait_us(&mut self, now_us: u64, bytes: usize) -> u64 {
        let now = now_us as f64;
        let start = self.free_at.max(now);
        self.free_at = start + bytes as f64 / self.bytes_per_s.max(1.0) * 1e6;
        (start - now) as u64
    }
}

/// The trial's part of a service's requests: each request earns a part, each trial request spends one.
#[derive(Clone, Debug, Default)]
pub struct Share {
    held: f64,
    /// The rollout and its stage, and requests to the service since that began.
    stage: (u64, u8),
    asked: u32,
}

/// Trial requests that all relays together may hold before any was earned.
const AHEAD: f64 = 10.0;

impl Share {
    /// `draw`: evenly from 0 to 1. Where each of many relays is asked little, none would earn a whole trial request for
    /// long; beginning somewhere between two of them, they come as often as all of them were asked.
    pub fn new(draw: f64, edges: usize) -> Share {
        Share {
            held: draw * (AHEAD / edges.max(1) as f64).min(1.0),
            ..Share::default()
        }
    }

    pub fn take(&mut self, share: f64) -> bool {
        self.asked = self.asked.saturating_add(1);
        if share >= 1.0 {
            return true;
        }
        self.held = (self.held + share).min(1.5);
        let there = self.held >= 1.0;
        self.held -= f64::from(u8::from(there));
        there
    }

    /// Requests to the service in a stage of a rollout, so far.
    pub fn asked(&mut self, begun: u64, stage: u8) -> u32 {
        if self.stage != (begun, stage) {
            (self.stage, self.asked) = ((begun, stage), 0);
        }
        self.asked
    }

    /// One that was not used.
    pub fn give_back(&mut self) {
        self.held += 1.0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn trial_requests_come_as_often_as_all_relays_are_asked_though_each_is_asked_little() {
        for edges in [3_usize, 9, 91] {
            let draw = |at: usize| (at as f64 * 0.618_034).fract();
            let mut all: Vec<Share> = (0..edges).map(|at| Share::new(draw(at), edges)).collect();
            let mut taken = 0;
            for _ in 0..6 {
                taken += all
                    .iter_mut()
                    .filter_map(|share| share.take(0.08).then_some(()))
                    .count();
            }
            let earned = 0.08 * 6.0 * edges as f64;
            assert!(
                f64::from(taken as u32) <= earned + AHEAD,
                "{edges} relays: {taken}"
            );
            assert!(edges > 40 || taken >= 1, "{edges} relays: {taken}");
        }
    }

    #[test]
    fn further_tries_of_all_relays_sum_to_less_than_the_rule_allows_even_after_restarts() {
        for relays in [9, 90] {
            let mut all: Vec<Tries> = (0..relays).map(|_| Tries::new(0.2, 58.0, relays)).collect();
            let (mut asked, mut further) = (0.0, 0.0);
            for round in 0..100 {
                for (at, tries) in all.iter_mut().enumerate() {
                    if round == 50 && at % 2 == 0 {
                        *tries = Tries::new(0.2, 58.0, relays);
                    }
                    tries.asked();
                    asked += 1.0;
                    while tries.take() {
                        further += 1.0;
                    }
                }
            }
            assert!(
                further <= 0.2 * asked + 58.0,
                "{relays}: {further} of {asked}"
            );
            assert!(further >= 0.1 * asked, "{relays}: {further} of {asked}");
        }
    }

    #[test]
    fn a_cold_units_bound_holds_for_the_relays_that_may_send_to_it() {
        let (rate, mut most) = (2.6, 0);
        let mut relays: Vec<Cold> = vec![Cold::default(); 4]; // twice those meant, as views differ
        let mut sent: Vec<u64> = Vec::new();
        for now in (0..10_000).step_by(10) {
            sent.extend(
                relays
                    .iter_mut()
                    .filter_map(|cold| cold.take(now, rate / 2.0).then_some(now)),
            );
            most = most.max(sent.iter().filter(|&&at| at + 1000 > now).count());
        }
        assert!(most as f64 <= rate * 1.5 + 5.0, "{most}");
        assert!(sent.len() > 20);
    }

    #[test]
    fn pieces_of_large_answers_take_turns_at_the_rate_and_an_idle_link_lets_the_first_pass() {
        let mut flow = Flow::new(1_000_000.0);
        assert_eq!(flow.wait_us(5_000_000, 8000), 0);
        assert_eq!(flow.wait_us(5_000_000, 8000), 8000);
        assert_eq!(flow.wait_us(5_004_000, 8000), 12_000);
        assert_eq!(flow.wait_us(9_000_000, 8000), 0);
    }

    #[test]
    fn a_trials_share_is_kept_from_its_first_request_on() {
        let mut share = Share::default();
        for asked in 1..1000 {
            share.take(0.08);
            let trials = (0..asked).fold((Share::default(), 0), |(mut share, n), _| {
                let n = n + u32::from(share.take(0.08));
                (share, n)
            });
            assert!(f64::from(trials.1) <= 0.08 * f64::from(asked) + 1.0);
        }
    }
}
