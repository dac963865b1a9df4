//! The verdict on a node. It rests on a majority's word: what was decided, as of when nothing newer was. It ends by
//! itself on the node's steady clock, so that a node which hears nothing, sleeps or is cut off needs nobody to tell
//! it to stop.

use crate::Ms;
use aspendrum_model::message::StateDigest;

/// How a node stands to what was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// What it applied is what was decided.
    Current,
    /// Something newer was decided.
    Behind,
    /// It applied that number, and something else by it.
    Differs,
    /// No majority's word is young enough.
    Alone,
}

impl Standing {
    pub fn word(self) -> &'static str {
        match self {
            Standing::Current => "current",
            Standing::Behind => "behind",
            Standing::Differs => "differs",
            Standing::Alone => "alone",
        }
    }
}

/// A majority's word.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    pub decided: StateDigest,
    /// A majority held nothing newer then.
    pub as_of: Ms,
}

/// For how long a word counts, as formulas of the platform's terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// `apply-ms` less a margin: a decision is acknowledged after the word's moment at the earliest.
    pub lasts: Ms,
    /// The same while half of the fleet or more has no word either: then a majority of control is gone for most of
    /// it, and the terms stretch the bound by `stretch-ms`.
    pub stretched: Ms,
}

/// What clocks that drift and threads that wake late may take of a bound.
const MARGIN: Ms = 250.0;

impl Bounds {
    pub fn of(apply_ms: Ms, stretch_ms: Ms) -> Bounds {
        let lasts = (apply_ms - MARGIN).max(0.0);
        Bounds {
            lasts,
            stretched: lasts + stretch_ms.max(0.0),
        }
    }
}

/// The verdict that a node acts by, without asking anybody.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    pub standing: Standing,
    /// From then on it is [`Standing::Alone`], whatever it was.
    pub until: Ms,
}

impl Verdict {
    /// Before any word.
    pub const NONE: Verdict = Verdict {
        standing: Standing::Alone,
        until: f64::NEG_INFINITY,
    };

    /// `deserted`: half of the fleet or more has no word either.
    pub fn of(
        applied: &StateDigest,
        word: Option<&Word>,
        deserted: bool,
        bounds: &Bounds,
    ) -> Verdict {
        let Some(word) = word else {
            return Verdict::NONE;
        };
        let until = word.as_of
            + if deserted {
                bounds.stretched
            } else {
                bounds.lasts
            };
        let decided = &word.decided;
        let standing = match (
            applied.revision.covers(&decided.revision),
            applied.revision == decided.revision,
        ) {
            (false, _) => Standing::Behind,
            (true, true) if applied.digests != decided.digests => Standing::Differs,
            // What it applied is newer than the word; only what was decided is ever told.
            (true, _) => Standing::Current,
        };
        Verdict { standing, until }
    }

    pub fn at(&self, now: Ms) -> Standing {
        if now < self.until {
            self.standing
        } else {
            Standing::Alone
        }
    }

    /// Whether a once-only request may run now. Repeatable ones flow whatever the verdict: what they do by an older
    /// path is done again by the next.
    pub fn runs_once_only(&self, now: Ms) -> bool {
        self.at(now) == Standing::Current
    }
}
