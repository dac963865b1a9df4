//! Repair of a node that differs, without anybody: the section that differs, then all that is decided, then its
//! tables anew; each step has its time, and a node that differs again and again says so once.

use crate::{Ms, Section, Standing};

/// What is to be done about a node now.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Tell it these sections again.
    Sections(Vec<Section>),
    /// Tell it all that is decided.
    Snapshot,
    /// It is to forget what it applied, and then gets a snapshot.
    Anew,
    /// Nothing helped: whoever reads logs is told, once. The steps begin again.
    Tell,
}

/// News that are on their way make a node look behind for a moment; a step's effect shows in its next beats. Steps
/// behind the third come ever more seldom, every 16 of these in the end.
const STEP: Ms = 600.0;

#[derive(Clone, Debug, Default)]
pub struct Mending {
    /// Since when it differs, and how many steps were taken since.
    since: Option<Ms>,
    next: Ms,
    steps: u32,
    told: bool,
    /// When the last repair was over, and how many there were.
    pub mended: Option<Ms>,
    pub repairs: u32,
}

impl Mending {
    /// How a node stands now, and in which sections it differs.
    pub fn look(&mut self, now: Ms, standing: Standing, differing: &[Section]) -> Option<Step> {
        if matches!(standing, Standing::Current | Standing::Alone) {
            if self.since.take().is_some() && self.steps > 0 {
                (self.mended, self.repairs) = (Some(now), self.repairs + 1);
            }
            (self.steps, self.told) = (0, false);
            return None;
        }
        if self.since.is_none() {
            (self.since, self.next) = (Some(now), now + STEP);
        }
        if now < self.next {
            return None;
        }
        // The first steps come quickly; what they do not mend is not mended by haste.
        let wait = STEP * 2f64.powi(self.steps.saturating_sub(2).min(4) as i32);
        (self.steps, self.next) = (self.steps + 1, now + wait);
        Some(match self.steps {
            1 if !differing.is_empty() => Step::Sections(differing.to_vec()),
            1 | 2 => Step::Snapshot,
            n if n % 3 == 0 || self.told => Step::Anew,
            _ => {
                self.told = true;
                Step::Tell
            }
        })
    }

    pub fn since(&self) -> Option<Ms> {
        self.since
    }
}
