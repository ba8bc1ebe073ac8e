//! The memory and descriptors of a process, as the kernel reports them.

use std::collections::HashSet;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::support::fleet::becomes_true;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The bounds of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessBounds {
    /// Memory in bytes, with the bytes that its sockets have received and it has not read.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// The largest values that were seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessPeak {
    memory_bytes: usize,
    unread_bytes: usize,
    descriptors: usize,
}

/// Samples a process until it is finished.
pub struct ProcessGauge {
    id: u32,
    is_stopped: Arc<AtomicBool>,
    sampler: JoinHandle<ProcessPeak>,
}

impl ProcessGauge {
    pub fn start(id: u32) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let sampler = thread::spawn(move || {
            let mut peak = ProcessPeak::default();
            while !stopped.load(Ordering::Relaxed) {
                peak.add_sample(id);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self {
            id,
            is_stopped,
            sampler,
        }
    }

    /// Waits until the process has read what its sockets have received, or has ended.
    pub async fn wait_until_read(&self) {
        becomes_true(async || {
            !is_running(self.id) || unread_bytes(&descriptor_links(self.id)) == 0
        })
        .await;
    }

    /// Checks that the process lives and has stayed within the bounds.
    pub fn finish(self, bounds: ProcessBounds) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut peak = self.sampler.join().unwrap();
        peak.memory_bytes = peak.memory_bytes.max(status_bytes(self.id, "VmHWM:"));
        println!("process {}: {peak:?} within {bounds:?}", self.id);
        assert!(is_running(self.id), "the process ended");
        assert!(
            peak.memory_bytes <= bounds.memory_bytes,
            "{peak:?} over {bounds:?}"
        );
        assert!(
            peak.descriptors <= bounds.descriptors,
            "{peak:?} over {bounds:?}"
        );
    }
}

impl ProcessPeak {
    fn add_sample(&mut self, id: u32) {
        let links = descriptor_links(id);
        let unread = unread_bytes(&links);
        let memory = status_bytes(id, "VmRSS:") + unread;
        self.memory_bytes = self.memory_bytes.max(memory);
        self.unread_bytes = self.unread_bytes.max(unread);
        self.descriptors = self.descriptors.max(links.len());
    }
}

fn is_running(id: u32) -> bool {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    !status.is_empty() && !status.contains("State:\tZ")
}

/// Returns a value of the process's status in bytes; 0 if the process has ended.
fn status_bytes(id: u32, key: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    let kilobytes = line.and_then(|rest| rest.trim().strip_suffix(" kB")?.trim().parse().ok());
    kilobytes.unwrap_or(0_usize) << 10
}

/// Returns what each descriptor of the process refers to.
fn descriptor_links(id: u32) -> Vec<String> {
    let Ok(entries) = fs::read_dir(format!("/proc/{id}/fd")) else {
        return Vec::new();
    };
    let links = entries.flatten().map(|entry| {
        // A descriptor that was closed meanwhile has no link.
        let link = fs::read_link(entry.path()).unwrap_or_default();
        link.to_string_lossy().into_owned()
    });
    links.collect()
}

/// Returns the bytes that the sockets have received and the process has not read.
fn unread_bytes(links: &[String]) -> usize {
    let inodes: HashSet<&str> = links
        .iter()
        .filter_map(|link| link.strip_prefix("socket:[")?.strip_suffix(']'))
        .collect();
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = sockets.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_listener = fields.get(3) == Some(&"0A");
        let is_own = inodes.contains(fields.get(9)?);
        let (_, received) = fields.get(4)?.split_once(':')?;
        let bytes = usize::from_str_radix(received, 16).ok()?;
        (is_own && !is_listener).then_some(bytes)
    });
    unread.sum()
}
