//! Assembles the answer of a model service from pieces that are numbered by offset.

use indexmap::IndexMap;
use thiserror::Error;

/// The most bytes of text that one answer may hold.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The most pieces that are held while one before them is missing.
const MAX_EARLY_PIECES: usize = 256;

/// Says why a piece makes an attempt useless.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum PieceError {
    /// Too many pieces came before one that is missing.
    #[error("more than {MAX_EARLY_PIECES} pieces came before a missing one")]
    Gap,
    /// The answer is larger than [`MAX_ANSWER_BYTES`].
    #[error("the answer exceeds {MAX_ANSWER_BYTES} bytes")]
    TooLong,
}

/// The tokens of an answer, in order and without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseTokens {
    text: String,
    ends: Vec<u32>,
    early: IndexMap<u64, Box<str>>,
}

impl ResponseTokens {
    /// Makes an answer of tokens that came before.
    pub fn from_tokens<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Result<Self, PieceError> {
        let mut answer = Self::default();
        for token in tokens {
            answer.append(token)?;
        }
        Ok(answer)
    }

    /// Returns the offset of the first token that is missing.
    pub fn next_offset(&self) -> u64 {
        self.ends.len() as u64
    }

    /// Returns the text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the token at an offset.
    pub fn token(&self, offset: u64) -> Option<&str> {
        let index = usize::try_from(offset).ok()?;
        let end = *self.ends.get(index)? as usize;
        let begin = index.checked_sub(1).map_or(0, |before| self.ends[before] as usize);
        Some(&self.text[begin..end])
    }

    /// Returns the tokens from an offset on.
    pub fn tokens_from(&self, offset: u64) -> impl Iterator<Item = &str> {
        (offset..self.next_offset()).filter_map(|offset| self.token(offset))
    }

    /// Takes the token of an offset; one that is held already is dropped.
    pub fn insert_token(&mut self, offset: u64, token: &str) -> Result<(), PieceError> {
        if offset < self.next_offset() {
            return Ok(());
        }
        if offset > self.next_offset() {
            if self.early.len() >= MAX_EARLY_PIECES {
                return Err(PieceError::Gap);
            }
            self.early.entry(offset).or_insert_with(|| token.into());
            return Ok(());
        }
        self.append(token)?;
        while let Some(token) = self.early.swap_remove(&self.next_offset()) {
            self.append(&token)?;
        }
        Ok(())
    }

    /// Says whether pieces wait for one that is missing.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }

    /// Drops the pieces that wait for a missing one, as their attempt no longer counts.
    pub fn forget_early(&mut self) {
        self.early.clear();
    }

    fn append(&mut self, token: &str) -> Result<(), PieceError> {
        if self.text.len() + token.len() > MAX_ANSWER_BYTES {
            return Err(PieceError::TooLong);
        }
        self.text.push_str(token);
        self.ends.push(self.text.len() as u32);
        Ok(())
    }
}
