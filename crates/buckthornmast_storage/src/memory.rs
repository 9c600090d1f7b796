//! Files in memory with injected faults, for tests and examples.
//!
//! [`Memory::crash`] loses content that was not synced and renames without a folder sync.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
};

use crate::files::Files;

#[derive(Debug, Default, Clone)]
struct Content {
    current: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Content>,
    // Files under their names as of the last folder sync, which a crash restores with their synced content.
    durable: BTreeMap<String, Content>,
    is_sync_failing: bool,
    free_bytes: Option<usize>,
    operations_left: Option<usize>,
    syncs: u64,
    blocked_prefix: Option<String>,
    blocked_syncs: usize,
}

/// Folder in memory. Clones share the content.
#[derive(Debug, Default, Clone)]
pub struct Memory {
    state: Arc<Mutex<State>>,
    unblocked: Arc<Condvar>,
}

impl Memory {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Blocks syncs of files whose names start with this prefix until the next call; an empty prefix blocks the syncs of
    /// all files, `None` unblocks all. Syncs of the folder are never blocked.
    pub fn block_syncs(&self, prefix: Option<&str>) {
        self.state().blocked_prefix = prefix.map(str::to_owned);
        self.unblocked.notify_all();
    }

    /// Returns the number of syncs that are blocked.
    pub fn blocked_syncs(&self) -> usize {
        self.state().blocked_syncs
    }

    fn wait_unblocked(&self, name: &str) -> MutexGuard<'_, State> {
        let mut state = self.state();
        let is_blocked = |state: &mut State| {
            let blocked = state.blocked_prefix.as_deref();
            blocked.is_some_and(|prefix| name.starts_with(prefix))
        };
        if is_blocked(&mut state) {
            state.blocked_syncs += 1;
            state = self
                .unblocked
                .wait_while(state, is_blocked)
                .unwrap_or_else(PoisonError::into_inner);
            state.blocked_syncs -= 1;
        }
        state
    }

    /// Makes all later syncs fail, or succeed again.
    pub fn set_sync_failure(&self, fail: bool) {
        self.state().is_sync_failing = fail;
    }

    /// Sets the number of bytes that can still be written before the disk is full; `None` is no limit.
    pub fn set_free_bytes(&self, free_bytes: Option<usize>) {
        self.state().free_bytes = free_bytes;
    }

    /// Sets the number of modifying operations that still succeed before all later ones fail; `None` is no limit.
    pub fn fail_after_operations(&self, operations: Option<usize>) {
        self.state().operations_left = operations;
    }

    /// Returns the number of file syncs that have succeeded.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Discards everything that was not synced and removes the injected faults.
    pub fn crash(&self) {
        let mut state = self.state();
        let mut files = state.durable.clone();
        for content in files.values_mut() {
            content.current = content.synced.clone();
        }
        *state = State {
            durable: files.clone(),
            files,
            syncs: state.syncs,
            ..State::default()
        };
    }

    /// Replaces the durable content of a file, to simulate damage.
    pub fn replace(&self, name: &str, content: Vec<u8>) {
        let content = Content {
            current: content.clone(),
            synced: content,
        };
        let mut state = self.state();
        state.files.insert(name.to_owned(), content.clone());
        state.durable.insert(name.to_owned(), content);
    }

    /// Returns the size of all files.
    pub fn total_bytes(&self) -> usize {
        let state = self.state();
        state.files.values().map(|file| file.current.len()).sum()
    }

    /// Returns the content of a file.
    pub fn content(&self, name: &str) -> Option<Vec<u8>> {
        self.state()
            .files
            .get(name)
            .map(|file| file.current.clone())
    }
}

fn storage_full() -> io::Error {
    io::Error::from(io::ErrorKind::StorageFull)
}

fn not_found() -> io::Error {
    io::Error::from(io::ErrorKind::NotFound)
}

impl State {
    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("injected stop")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    // A full disk accepts the bytes that still fit, as a real one does.
    fn take_free_bytes(&mut self, len: usize) -> usize {
        let Some(free) = &mut self.free_bytes else {
            return len;
        };
        let accepted = len.min(*free);
        *free -= accepted;
        accepted
    }
}

impl Files for Memory {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.content(name))
    }

    fn write(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let replaced = state.files.get(name).map_or(0, |file| file.current.len());
        if let Some(free) = &mut state.free_bytes {
            *free += replaced;
        }
        let accepted = state.take_free_bytes(content.len());
        let file = state.files.entry(name.to_owned()).or_default();
        file.current = content[..accepted].to_vec();
        if accepted < content.len() {
            return Err(storage_full());
        }
        Ok(())
    }

    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let accepted = state.take_free_bytes(content.len());
        let file = state.files.get_mut(name).ok_or_else(not_found)?;
        file.current.extend_from_slice(&content[..accepted]);
        if accepted < content.len() {
            return Err(storage_full());
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let file = state.files.get_mut(name).ok_or_else(not_found)?;
        let before = file.current.len();
        file.current
            .truncate(usize::try_from(len).unwrap_or(usize::MAX));
        let released = before - file.current.len();
        if let Some(free) = &mut state.free_bytes {
            *free += released;
        }
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.wait_unblocked(name);
        state.count_operation()?;
        if state.is_sync_failing {
            return Err(io::Error::other("injected sync failure"));
        }
        let file = state.files.get_mut(name).ok_or_else(not_found)?;
        file.synced = file.current.clone();
        let file = file.clone();
        if let Some(durable) = state.durable.get_mut(name) {
            *durable = file;
        }
        state.syncs += 1;
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let file = state.files.remove(from).ok_or_else(not_found)?;
        let replaced = state.files.insert(to.to_owned(), file);
        if let (Some(free), Some(replaced)) = (&mut state.free_bytes, replaced) {
            *free += replaced.current.len();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        let removed = state.files.remove(name);
        if let (Some(free), Some(removed)) = (&mut state.free_bytes, removed) {
            *free += removed.current.len();
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.state();
        state.count_operation()?;
        if state.is_sync_failing {
            return Err(io::Error::other("injected sync failure"));
        }
        state.durable = state.files.clone();
        Ok(())
    }
}
