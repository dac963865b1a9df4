//! Sets of zones.

const WORD_BITS: usize = u64::BITS as usize;
const WORDS: usize = (u8::MAX as usize + 1) / WORD_BITS;

/// A set of zones, which has room for every zone number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSet([u64; WORDS]);

impl ZoneSet {
    /// All zones.
    pub const ALL: ZoneSet = ZoneSet([u64::MAX; WORDS]);
    /// No zone.
    pub const EMPTY: ZoneSet = ZoneSet([0; WORDS]);

    /// Whether the set contains the zone.
    pub fn contains(&self, zone: u8) -> bool {
        let (word, bit) = position(zone);
        self.0[word] >> bit & 1 == 1
    }

    /// Returns the zones that both sets contain.
    pub fn intersection(&self, other: &ZoneSet) -> ZoneSet {
        let mut common = *self;
        for (word, others) in common.0.iter_mut().zip(&other.0) {
            *word &= others;
        }
        common
    }

    /// Whether `other` contains all zones of this set.
    pub fn is_subset(&self, other: &ZoneSet) -> bool {
        self.intersection(other) == *self
    }

    fn insert(&mut self, zone: u8) {
        let (word, bit) = position(zone);
        self.0[word] |= 1 << bit;
    }
}

impl FromIterator<u8> for ZoneSet {
    fn from_iter<I: IntoIterator<Item = u8>>(zones: I) -> ZoneSet {
        let mut set = ZoneSet::EMPTY;
        zones.into_iter().for_each(|zone| set.insert(zone));
        set
    }
}

/// Returns the index of the word and of the bit for a zone.
fn position(zone: u8) -> (usize, usize) {
    let zone = usize::from(zone);
    (zone / WORD_BITS, zone % WORD_BITS)
}
