//! File operations of a data folder, behind a trait so that tests can inject faults.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Write},
    path::PathBuf,
};

/// File operations that a store needs. Names are plain file names within one folder.
pub trait Files: Send + 'static {
    /// Returns the content of a file, or `None` if there is no such file.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates or truncates a file and writes its whole content, without a sync.
    fn write(&mut self, name: &str, content: &[u8]) -> io::Result<()>;
    /// Appends to an existing file, without a sync.
    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length, without a sync.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing the file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file, if there is one.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the creation, renaming and removal of files durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// Folder of the file system.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    // Stays open, because the log is appended to once per batch.
    last_appended: Option<(String, File)>,
}

impl Folder {
    /// Opens a folder, creating it if needed.
    pub fn open(path: impl Into<PathBuf>) -> io::Result<Self> {
        let path = path.into();
        fs::create_dir_all(&path)?;
        Ok(Self {
            path,
            last_appended: None,
        })
    }

    fn append_handle(&mut self, name: &str) -> io::Result<&mut File> {
        let reusable = self.last_appended.take().filter(|(open, _)| open == name);
        let entry = match reusable {
            Some(entry) => entry,
            None => {
                let file = OpenOptions::new().append(true).open(self.path.join(name))?;
                (name.to_owned(), file)
            }
        };
        Ok(&mut self.last_appended.insert(entry).1)
    }
}

impl Files for Folder {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(content) => Ok(Some(content)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        self.last_appended = None;
        fs::write(self.path.join(name), content)
    }

    fn append(&mut self, name: &str, content: &[u8]) -> io::Result<()> {
        self.append_handle(name)?.write_all(content)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.append_handle(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.append_handle(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        // An open handle would keep writing to the replaced file.
        self.last_appended = None;
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        // An open handle would keep the space of the removed file.
        self.last_appended = None;
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
