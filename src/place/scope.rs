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

    /// Returns whether homes restrict the request to some data centres.
    #[must_use]
    pub fn has_homes(&self) -> bool {
        self.permitted.is_some()
    }

    /// Returns the data centres that the homes of the request permit; `None` if they permit all.
    #[must_use]
    pub fn permitted(&self) -> Option<&[String]> {
        self.permitted.as_deref()
    }

    /// Returns whether the homes of the request permit `data_center`, evacuated or not.
    ///
    /// ```
    /// use corianderramp::place::scope::Scope;
    ///
    /// let scope = Scope::new(Some(vec!["a".to_owned()]), vec!["a".to_owned()]);
    /// assert!(scope.is_home("a") && !scope.allows("a"));
    /// assert!(!scope.is_home("b"));
    /// ```
    #[must_use]
    pub fn is_home(&self, data_center: &str) -> bool {
        let permitted = self.permitted.as_deref();
        permitted.is_none_or(|names| contains(names, data_center))
    }

    /// Returns whether targets in `data_center` may serve the request.
    #[must_use]
    pub fn allows(&self, data_center: &str) -> bool {
        self.is_home(data_center) && !contains(&self.evacuated, data_center)
    }
}

/// Whether the sorted `names` have `name`.
fn contains(names: &[String], name: &str) -> bool {
    names.binary_search_by(|n| n.as_str().cmp(name)).is_ok()
}
