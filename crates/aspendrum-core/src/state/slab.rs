//! Storage with stable indices.

use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// A slab of values that are accessed by id or by index. An index is stable until its value is
/// removed and may be reused afterwards. A removed value stays readable, and is included in
/// [`Slab::iter`], until its index is reused.
pub(crate) struct Slab<T> {
    values: Vec<T>,
    index_of: HashMap<u64, usize>,
    free: Vec<usize>,
}

impl<T> Default for Slab<T> {
    fn default() -> Self {
        Slab {
            values: Vec::new(),
            index_of: HashMap::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Slab<T> {
    /// Returns the index of the value with that id.
    pub(crate) fn find(&self, id: u64) -> Option<usize> {
        self.index_of.get(&id).copied()
    }

    /// Stores a value under an unused id and returns its index.
    pub(crate) fn insert(&mut self, id: u64, value: T) -> usize {
        let index = self.free.pop().unwrap_or(self.values.len());
        if index < self.values.len() {
            self.values[index] = value;
        } else {
            self.values.push(value);
        }
        self.index_of.insert(id, index);
        index
    }

    /// Frees the index of that id. Returns false if the id is unknown.
    pub(crate) fn remove(&mut self, id: u64) -> bool {
        let index = self.index_of.remove(&id);
        self.free.extend(index);
        index.is_some()
    }

    /// Returns the number of indices, including those of removed values.
    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    /// Iterates over all values in the order of their indices, including removed ones.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.values.iter()
    }

    /// Iterates like [`Slab::iter`], with mutable references.
    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.values.iter_mut()
    }
}

impl<T> Index<usize> for Slab<T> {
    type Output = T;

    fn index(&self, index: usize) -> &T {
        &self.values[index]
    }
}

impl<T> IndexMut<usize> for Slab<T> {
    fn index_mut(&mut self, index: usize) -> &mut T {
        &mut self.values[index]
    }
}
