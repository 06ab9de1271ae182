//! Hashes of a prompt's leading blocks, computed as the engines do for their
//! cache events.

use std::borrow::Cow;

use serde::Deserialize;
use xxhash_rust::xxh3;

/// Length of a prompt block, bytes.
const BLOCK_BYTES: usize = 64;
/// Maximum number of blocks that are hashed; the first 16 KiB are enough to
/// tell prompts apart.
const MAX_BLOCKS: usize = 256;
/// Only hashes divisible by this number are used; agents report the same
/// sample.
pub const SAMPLING_DIVISOR: u64 = 4;

/// Parts of a completion request that routing needs.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Completion<'a> {
    /// Name of the service.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Chat messages.
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
    /// Prompt of the plain completion format.
    #[serde(borrow)]
    prompt: Option<Text<'a>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow)]
    content: Option<Text<'a>>,
}

/// Text, or content parts and token lists, which are ignored.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Text<'a> {
    Plain(#[serde(borrow)] Cow<'a, str>),
    Other(serde::de::IgnoredAny),
}

impl Text<'_> {
    fn plain(&self) -> &str {
        match self {
            Self::Plain(text) => text,
            Self::Other(_) => "",
        }
    }
}

impl Completion<'_> {
    /// Sampled chained hashes of the prompt's blocks.
    #[must_use]
    pub fn prompt_hashes(&self) -> Vec<u64> {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(message.content.as_ref().map_or("", Text::plain));
            text.push('\n');
        }
        text.push_str(self.prompt.as_ref().map_or("", Text::plain));
        sampled_hashes(&text)
    }
}

fn sampled_hashes(text: &str) -> Vec<u64> {
    let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let chain = blocks.scan(0, |parent, block| {
        *parent = xxh3::xxh3_64_with_seed(block, *parent);
        Some(*parent)
    });
    chain
        .filter(|h| h.is_multiple_of(SAMPLING_DIVISOR))
        .collect()
}

/// Estimates how many leading blocks are cached, from the prompt's sampled
/// hashes and the sorted sample that a target reported.
#[must_use]
pub fn cached_blocks(hashes: &[u64], reported: &[u64]) -> usize {
    let known = hashes
        .iter()
        .take_while(|h| reported.binary_search(h).is_ok());
    known.count() * usize::try_from(SAMPLING_DIVISOR).unwrap_or(1)
}
