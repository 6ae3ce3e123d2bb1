//! Deliberately broken variants (mutations) of the product's code (design 7.6). A simulation asks for one by name, to
//! prove that its checks catch it.
//!
//! Without the feature `mutations` no variant can be enabled, and the compiler drops their branches: release builds of
//! the daemons hold none.

/// Whether the simulation of this thread asks for the variant of that name.
#[cfg(feature = "mutations")]
pub fn enabled(name: &str) -> bool {
    crate::runtime::simulation().is_some_and(|simulation| simulation.mutation.as_deref() == Some(name))
}

/// Whether the simulation of this thread asks for the variant of that name: never, in this build.
#[cfg(not(feature = "mutations"))]
pub const fn enabled(_name: &str) -> bool {
    false
}
