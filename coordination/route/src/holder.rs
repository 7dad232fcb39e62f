//! A reference-counted table that stores each holder once, however many flows
//! it holds.
use std::collections::HashMap;

use crate::pin::Holder;

/// Index of a holder within its [`Set`].
pub type Index = u32;

#[derive(Clone, Copy, Debug)]
struct RefCounted {
    holder: Holder,
    references: u32,
}

/// Holders with their reference counts; a holder is removed when its count
/// drops to zero.
#[derive(Debug, Default)]
pub struct Set {
    holders: Vec<RefCounted>,
    free: Vec<Index>,
    indices: HashMap<Holder, Index>,
}

impl Set {
    /// Adds a reference to a holder and returns the holder's index.
    pub fn acquire(&mut self, holder: Holder) -> Index {
        if let Some(&index) = self.indices.get(&holder) {
            self.holders[index as usize].references += 1;
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| self.push_holder(holder));
        self.holders[index as usize] = RefCounted {
            holder,
            references: 1,
        };
        self.indices.insert(holder, index);
        index
    }

    fn push_holder(&mut self, holder: Holder) -> Index {
        self.holders.push(RefCounted {
            holder,
            references: 0,
        });
        Index::try_from(self.holders.len() - 1).unwrap_or(Index::MAX)
    }

    /// Removes a reference to a holder.
    pub fn release(&mut self, index: Index) {
        let counted = &mut self.holders[index as usize];
        counted.references -= 1;
        if counted.references == 0 {
            self.indices.remove(&counted.holder);
            self.free.push(index);
        }
    }

    /// Returns the holder at an index that has references.
    #[must_use]
    pub fn get(&self, index: Index) -> Holder {
        self.holders[index as usize].holder
    }

    /// Returns the number of holders with references.
    #[must_use]
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Returns true if no holder has references.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Returns the memory that the set uses, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.holders.capacity() * size_of::<RefCounted>()
            + self.free.capacity() * size_of::<Index>()
            + self.indices.capacity() * size_of::<(Holder, Index)>()
    }
}
