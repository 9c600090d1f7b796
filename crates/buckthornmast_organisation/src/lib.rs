//! Organisations whose callers hold keys.
//!
//! The document of routes names organisations and their keys. A [`ring::Ring`] finds the organisation that holds a key. The
//! document in force at an instance may be out of date, and a key that was taken away since then must not work any longer
//! than the deployment allows. So an instance honours keys only under a [`lease::Lease`], which the leader of the core
//! renews by confirming the version that was the newest when it was asked.

pub mod lease;
pub mod ring;
