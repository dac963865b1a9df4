//! Storage with stable indices.

use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// Values found by id or by index. An index stays valid until its value is removed, then it is used
/// again; a removed value stays readable, and part of [`Slab::iter`], until then.
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
    /// The index of the value with that id.
    pub(crate) fn find(&self, id: u64) -> Option<usize> {
        self.index_of.get(&id).copied()
    }

    /// Stores a value under an id that is not in use; its index.
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

    /// Frees the index of that id. False if there is none.
    pub(crate) fn remove(&mut self, id: u64) -> bool {
        let index = self.index_of.remove(&id);
        self.free.extend(index);
        index.is_some()
    }

    /// The number of indices, those of removed values among them.
    pub(crate) fn len(&self) -> usize {
        self.values.len()
    }

    /// All values in the order of their indices, removed ones among them.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.values.iter()
    }

    /// As [`Slab::iter`].
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
