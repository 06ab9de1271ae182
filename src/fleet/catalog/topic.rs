//! Kinds of objects in the store that nodes follow.

/// Kinds of objects that a node watches.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// Configuration.
    Config,
    /// Registered targets.
    Targets,
    /// Releases of weights.
    Releases,
    /// Evacuations of data centres.
    Evacuations,
}

impl Topic {
    /// All topics. Relays name a topic by its position.
    pub const ALL: [Self; 4] = [
        Self::Config,
        Self::Targets,
        Self::Releases,
        Self::Evacuations,
    ];

    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Targets => "targets",
            Self::Releases => "releases",
            Self::Evacuations => "evacuations",
        }
    }
}
