//! A set of chunk numbers as a bitmap.

const WORD_BITS: usize = u64::BITS as usize;

/// A set of chunk numbers below a fixed count.
///
/// The words are allocated on the first insertion: an instance tracks hundreds of peers, of which
/// only the neighbours ever announce anything.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChunkSet {
    words: Vec<u64>,
    chunks: usize,
    len: usize,
}

impl ChunkSet {
    /// An empty set over chunk numbers below `chunks`.
    pub fn new(chunks: usize) -> Self {
        Self { words: Vec::new(), chunks, len: 0 }
    }

    /// The set of all chunk numbers below `chunks`.
    pub fn full(chunks: usize) -> Self {
        let mut set = Self::new(chunks);
        (0..chunks).for_each(|chunk| _ = set.insert(chunk as u32));
        set
    }

    /// Adds a chunk; returns whether it is new. A number out of range is ignored, because it may
    /// come from the announcement of a faulty peer.
    pub fn insert(&mut self, chunk: u32) -> bool {
        let chunk = chunk as usize;
        if chunk >= self.chunks {
            return false;
        }
        if self.words.is_empty() {
            self.words = vec![0; self.chunks.div_ceil(WORD_BITS)];
        }
        let word = &mut self.words[chunk / WORD_BITS];
        let bit = 1u64 << (chunk % WORD_BITS);
        let new = *word & bit == 0;
        *word |= bit;
        self.len += usize::from(new);
        new
    }

    /// Removes a chunk; returns whether it was held.
    pub fn remove(&mut self, chunk: u32) -> bool {
        if !self.contains(chunk) {
            return false;
        }
        let chunk = chunk as usize;
        self.words[chunk / WORD_BITS] &= !(1u64 << (chunk % WORD_BITS));
        self.len -= 1;
        true
    }

    /// Whether the chunk is in the set.
    pub fn contains(&self, chunk: u32) -> bool {
        let chunk = chunk as usize;
        let word = self.words.get(chunk / WORD_BITS);
        word.is_some_and(|word| word & (1u64 << (chunk % WORD_BITS)) != 0)
    }

    /// Number of chunks in the set.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the set holds every chunk.
    pub fn is_full(&self) -> bool {
        self.len == self.chunks
    }

    /// The chunks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.words.len()).flat_map(|index| bits(index, self.words[index]))
    }

    /// Exclusive upper bound of the chunk numbers.
    pub fn capacity(&self) -> usize {
        self.chunks
    }

    /// The word of the bitmap at an index; zero where nothing was ever inserted.
    pub(crate) fn word(&self, index: usize) -> u64 {
        self.words.get(index).copied().unwrap_or(0)
    }

    /// Number of words that cover all chunk numbers.
    pub(crate) fn words(&self) -> usize {
        self.chunks.div_ceil(WORD_BITS)
    }
}

/// The chunk numbers of the bits that are set in the bitmap's word at an index.
pub(crate) fn bits(index: usize, mut word: u64) -> impl Iterator<Item = u32> {
    std::iter::from_fn(move || {
        if word == 0 {
            return None;
        }
        let bit = word.trailing_zeros() as usize;
        word &= word - 1;
        Some((index * WORD_BITS + bit) as u32)
    })
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[googletest::test]
    fn counts_what_it_holds() {
        let mut set = ChunkSet::new(130);
        expect_that!(set.insert(129), eq(true));
        expect_that!(set.insert(129), eq(false));
        expect_that!(set.insert(0), eq(true));
        expect_that!(set.iter().collect::<Vec<_>>(), eq(&vec![0, 129]));
        expect_that!(set.remove(0), eq(true));
        expect_that!(set.remove(0), eq(false));
        expect_that!(set.len(), eq(1));
    }

    /// A peer announces a chunk that the manifest does not have. If it were stored, the instance
    /// would request it forever or panic on an index out of range.
    #[googletest::test]
    fn ignores_a_chunk_out_of_range() {
        let mut set = ChunkSet::new(3);
        expect_that!(set.insert(3), eq(false));
        expect_that!(set.insert(u32::MAX), eq(false));
        expect_that!(set.contains(u32::MAX), eq(false));
        expect_that!(ChunkSet::full(3).is_full(), eq(true));
    }
}
