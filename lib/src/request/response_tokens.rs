//! Assembles the response of a model service from tokens numbered by offset.

use indexmap::IndexMap;
use thiserror::Error;

/// The maximum size of the text of a response, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The maximum number of tokens buffered while an earlier one is missing.
const MAX_EARLY_TOKENS: usize = 256;

/// Why a received token makes its attempt fail.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    /// Too many tokens arrived ahead of a missing one.
    #[error("more than {MAX_EARLY_TOKENS} pieces came before a missing one")]
    Gap,
    /// The response is larger than [`MAX_ANSWER_BYTES`].
    #[error("the answer exceeds {MAX_ANSWER_BYTES} bytes")]
    TooLong,
}

/// The tokens of a response, in order and without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseTokens {
    text: String,
    token_ends: Vec<u32>,
    early: IndexMap<u64, Box<str>>,
}

impl ResponseTokens {
    /// Creates a partial response from tokens received earlier.
    pub fn from_tokens<'a>(tokens: impl IntoIterator<Item = &'a str>) -> Result<Self, TokenError> {
        let mut answer = Self::default();
        for token in tokens {
            answer.append(token)?;
        }
        Ok(answer)
    }

    /// Returns the offset of the first missing token.
    pub fn next_offset(&self) -> u64 {
        self.token_ends.len() as u64
    }

    /// Returns the text of all tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    pub fn token(&self, offset: u64) -> Option<&str> {
        let index = usize::try_from(offset).ok()?;
        let end = *self.token_ends.get(index)? as usize;
        let begin = index.checked_sub(1).map_or(0, |before| self.token_ends[before] as usize);
        Some(&self.text[begin..end])
    }

    /// Returns the tokens starting at an offset.
    pub fn tokens_from(&self, offset: u64) -> impl Iterator<Item = &str> {
        (offset..self.next_offset()).filter_map(|offset| self.token(offset))
    }

    /// Inserts the token at an offset; a token that is already present is kept.
    pub fn insert_token(&mut self, offset: u64, token: &str) -> Result<(), TokenError> {
        if offset < self.next_offset() {
            return Ok(());
        }
        if offset > self.next_offset() {
            if self.early.len() >= MAX_EARLY_TOKENS {
                return Err(TokenError::Gap);
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

    /// Returns the memory that the tokens take, in bytes.
    pub fn held_bytes(&self) -> usize {
        let early: usize = self.early.values().map(|token| token.len()).sum();
        self.text.len() + early + size_of::<u32>() * self.token_ends.len()
    }

    /// Reports whether buffered tokens wait for a missing one.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }

    /// Discards the buffered tokens that wait for a missing one, for use when their attempt is no
    /// longer current.
    pub fn discard_early(&mut self) {
        self.early.clear();
    }

    fn append(&mut self, token: &str) -> Result<(), TokenError> {
        if self.text.len() + token.len() > MAX_ANSWER_BYTES {
            return Err(TokenError::TooLong);
        }
        self.text.push_str(token);
        self.token_ends.push(self.text.len() as u32);
        Ok(())
    }
}
