//! Which data centres may serve a request.

/// Data centres whose targets may serve a request.
///
/// ```
/// use corianderramp::place::scope::Scope;
///
/// let scope = Scope::new(Some(vec!["a".to_owned(), "b".to_owned()]), vec!["b".to_owned()]);
/// assert!(scope.allows("a"));
/// assert!(!scope.allows("b"), "evacuated");
/// assert!(!scope.allows("c"), "no home");
/// assert!(Scope::default().allows("c"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scope {
    /// Data centres that are permitted, sorted; `None` if all are.
    permitted: Option<Vec<String>>,
    /// Data centres that are evacuated, sorted.
    evacuated: Vec<String>,
}

impl Scope {
    /// Scope without restrictions.
    pub const ANY: Self = Self {
        permitted: None,
        evacuated: Vec::new(),
    };

    /// Creates a scope from the permitted data centres, `None` for all, and the evacuated ones.
    #[must_use]
    pub fn new(permitted: Option<Vec<String>>, evacuated: Vec<String>) -> Self {
        let (mut permitted, mut evacuated) = (permitted, evacuated);
        if let Some(permitted) = &mut permitted {
            permitted.sort_unstable();
        }
        evacuated.sort_unstable();
        Self {
            permitted,
            evacuated,
        }
    }

    /// Returns whether some data centre is evacuated.
    #[must_use]
    pub fn has_evacuations(&self) -> bool {
        !self.evacuated.is_empty()
    }

    /// Returns the scope that this would be if no data centre were evacuated.
    ///
    /// ```
    /// use corianderramp::place::scope::Scope;
    ///
    /// let scope = Scope::new(Some(vec!["a".to_owned()]), vec!["a".to_owned()]);
    /// assert!(scope.without_evacuations().allows("a"));
    /// assert!(!scope.without_evacuations().allows("b"));
    /// ```
    #[must_use]
    pub fn without_evacuations(&self) -> Self {
        Self {
            permitted: self.permitted.clone(),
            evacuated: Vec::new(),
        }
    }

    /// Returns whether targets in `data_center` may serve the request.
    #[must_use]
    pub fn allows(&self, data_center: &str) -> bool {
        let has = |names: &[String]| {
            names
                .binary_search_by(|n| n.as_str().cmp(data_center))
                .is_ok()
        };
        self.permitted.as_deref().is_none_or(has) && !has(&self.evacuated)
    }
}
