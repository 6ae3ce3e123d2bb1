//! Mutations: deliberately broken variants of the product's code (design 7.6). A simulation enables one by name to
//! prove that its checks detect the fault.
//!
//! Without the feature `mutations` no mutation can be enabled and the compiler removes their branches, so release
//! builds of the daemons contain none.

/// Whether the simulation of this thread enables the mutation of that name.
#[cfg(feature = "mutations")]
pub fn enabled(name: &str) -> bool {
    crate::runtime::simulation().is_some_and(|simulation| simulation.mutation.as_deref() == Some(name))
}

/// Whether the simulation of this thread enables the mutation of that name; always false in this build.
#[cfg(not(feature = "mutations"))]
pub const fn enabled(_name: &str) -> bool {
    false
}
