//! Text of the engines' answers, which shows whether an answer is whole,
//! belongs to its request and comes from one version of complete weights.
//!
//! The first token names the version, the weights, the request and the number
//! of tokens. Each further token is a hash of the weights that the engine held
//! when it produced the token, of the request and of the token's position. The
//! last token is a hash of all text before it.

use corianderramp::digest;
use snafu::Snafu;
use xxhash_rust::xxh3;

/// What is wrong with an answer.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Fault {
    /// The answer ends early or is malformed.
    #[snafu(display("incomplete answer: {detail}"))]
    Incomplete {
        /// What is missing.
        detail: String,
    },
    /// The answer belongs to another request.
    #[snafu(display("answer to another request"))]
    Foreign,
    /// A token was produced with other weights than the first token names.
    #[snafu(display("token {position} comes from other weights"))]
    Mixed {
        /// Position of the token.
        position: usize,
    },
}

/// A whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Checked {
    /// `model@version` that the engine claimed to serve.
    pub version: String,
    /// Fingerprint of the weights, see [`weights`].
    pub weights: u64,
    /// Number of tokens.
    pub tokens: usize,
}

/// Fingerprint of the weights of `model` at `version` with these chunks.
#[must_use]
pub fn weights(model: &str, version: &str, chunks: &[digest::Digest]) -> u64 {
    let mut bytes = format!("{model}@{version}\n").into_bytes();
    for chunk in chunks {
        bytes.extend_from_slice(chunk.as_bytes());
    }
    xxh3::xxh3_64(&bytes)
}

/// Hash that identifies the request with this prompt.
#[must_use]
pub fn request(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// First token of an answer with `tokens` tokens.
#[must_use]
pub fn first(version: &str, weights: u64, request: u64, tokens: usize) -> String {
    format!("{version} {weights:016x} {request:016x} {tokens}")
}

/// Token at `position`, produced with `weights`.
#[must_use]
pub fn token(weights: u64, request: u64, position: usize) -> String {
    let hash = xxh3::xxh3_64_with_seed(&(position as u64).to_le_bytes(), weights ^ request);
    format!(" {:08x}", hash >> 32)
}

/// Last token, after `text`.
#[must_use]
pub fn last(text: &str) -> String {
    format!(" {:016x}.", xxh3::xxh3_64(text.as_bytes()))
}

/// Checks the text of an answer to the request with `prompt`.
///
/// # Errors
/// Says which property the answer lacks.
pub fn check(prompt: &str, text: &str) -> Result<Checked, Fault> {
    let words: Vec<&str> = text.split(' ').collect();
    let [version, weights, owner, tokens, body @ .., end] = words.as_slice() else {
        return Err(incomplete("no first and last token"));
    };
    let parse =
        |word: &str| u64::from_str_radix(word, 16).map_err(|_| incomplete("malformed first token"));
    let weights = parse(weights)?;
    let owner = parse(owner)?;
    let tokens: usize = tokens
        .parse()
        .map_err(|_| incomplete("malformed token count"))?;
    if owner != request(prompt) {
        return Err(Fault::Foreign);
    }
    for (i, word) in body.iter().enumerate() {
        if token(weights, owner, i + 1).trim_start() != *word {
            return Err(Fault::Mixed { position: i + 1 });
        }
    }
    if body.len() + 2 != tokens {
        return Err(incomplete("tokens are missing"));
    }
    let before = &text[..text.len() - end.len() - 1];
    if last(before).trim_start() != *end {
        return Err(incomplete("no last token"));
    }
    Ok(Checked {
        version: (*version).to_owned(),
        weights,
        tokens,
    })
}

fn incomplete(detail: &str) -> Fault {
    Fault::Incomplete {
        detail: detail.to_owned(),
    }
}
