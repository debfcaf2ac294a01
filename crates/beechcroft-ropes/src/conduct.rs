//! How the core takes a rollout on: which share of a service's requests a stage gives to the new version, and
//! when the next one begins. Going back is the proxy relays' vote, and needs nothing from here.

/// The part of requests that a stage sends to the new version; after the last one nothing goes to the old.
pub const SHARES: [f64; 4] = [0.08, 0.3, 0.6, 1.0];
/// The last stage: what still runs on the earlier version ends.
pub const LAST: u8 = SHARES.len() as u8 - 1;

/// By when, of the ramp, the trial is over; the steps after it share what is left.
const TRIAL_PART: f64 = 0.33;
const STEP_PART: f64 = 0.1;
/// Outcomes over the fleet that a trial should bring; it is given a fifth longer to bring them.
const ENOUGH: u32 = 40;

/// What is known of a rollout over all relays.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    pub stage: u8,
    /// Since this stage began, as this core machine knows.
    pub stage_ms: u64,
    pub ramp_ms: u64,
    /// Outcomes in this stage, over all relays that tell.
    pub trials: u32,
    pub failures: u32,
    /// A relay has its alarm set.
    pub alarm: bool,
    /// Slots of warm ready units of the new and of the old version.
    pub new_slots: u32,
    pub old_slots: u32,
    /// Requests still open at the old version.
    pub old_open: u32,
}

/// What the rollout does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Stay,
    On(u8),
    Complete,
}

pub fn conduct(view: View) -> Next {
    let passed = view.stage_ms as f64 / view.ramp_ms.max(1) as f64;
    // Nothing goes on over an alarm, nor to units that could not carry what the next stage brings.
    let share = SHARES[usize::from(view.stage + 1).min(SHARES.len() - 1)];
    let bears = f64::from(view.new_slots) >= 0.6 * share * f64::from(view.old_slots.max(view.new_slots));
    if view.alarm || !bears {
        return Next::Stay;
    }
    match view.stage {
        0 => {
            let enough = view.trials >= ENOUGH || passed >= TRIAL_PART * 1.2;
            if passed >= TRIAL_PART && enough && view.trials > 0 {
                Next::On(1)
            } else {
                Next::Stay
            }
        }
        LAST => {
            let ended = view.old_open == 0 && view.stage_ms >= 1200;
            if ended || view.stage_ms >= 2200 {
                Next::Complete
            } else {
                Next::Stay
            }
        }
        stage => {
            if passed >= STEP_PART {
                Next::On(stage + 1)
            } else {
                Next::Stay
            }
        }
    }
}
