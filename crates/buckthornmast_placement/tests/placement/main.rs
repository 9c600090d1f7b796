//! Tests of the policies and the arbiter.

#[cfg(test)]
mod common;
#[cfg(test)]
mod policy;
#[cfg(test)]
mod rules;
