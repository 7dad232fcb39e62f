//! Stores each holder once, however many flows it holds.
use std::collections::HashMap;

use crate::pin::Holder;

/// Names a holder within its [`Set`].
pub type Index = u32;

#[derive(Clone, Copy, Debug)]
struct Counted {
    holder: Holder,
    uses: u32,
}

/// Holders with a count of their uses; one without uses is forgotten.
#[derive(Debug, Default)]
pub struct Set {
    holders: Vec<Counted>,
    unused: Vec<Index>,
    indices: HashMap<Holder, Index>,
}

impl Set {
    /// Counts a use of a holder.
    pub fn acquire(&mut self, holder: Holder) -> Index {
        if let Some(&index) = self.indices.get(&holder) {
            self.holders[index as usize].uses += 1;
            return index;
        }
        let index = self.unused.pop().unwrap_or_else(|| self.grow(holder));
        self.holders[index as usize] = Counted { holder, uses: 1 };
        self.indices.insert(holder, index);
        index
    }

    fn grow(&mut self, holder: Holder) -> Index {
        self.holders.push(Counted { holder, uses: 0 });
        Index::try_from(self.holders.len() - 1).unwrap_or(Index::MAX)
    }

    /// Ends a use of a holder.
    pub fn release(&mut self, index: Index) {
        let counted = &mut self.holders[index as usize];
        counted.uses -= 1;
        if counted.uses == 0 {
            self.indices.remove(&counted.holder);
            self.unused.push(index);
        }
    }

    /// The holder of an index in use.
    #[must_use]
    pub fn get(&self, index: Index) -> Holder {
        self.holders[index as usize].holder
    }

    /// Number of holders in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether no holder is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Memory that the set holds, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.holders.capacity() * size_of::<Counted>()
            + self.unused.capacity() * size_of::<Index>()
            + self.indices.capacity() * size_of::<(Holder, Index)>()
    }
}
