//! Endpoints with a bounded number of running and waiting requests, which reject the rest.

use std::time::Duration;

use sw_unit::{Millis, Time};

/// Length of the spans in which rejections are counted.
pub const SECOND: Millis = Millis(1_000);

/// The room of one endpoint, and what it rejected.
#[derive(Debug, Clone)]
pub struct Room {
    /// When each slot is free.
    free_at: Vec<Time>,
    /// When the accepted requests that wait begin to run.
    starts: Vec<Time>,
    /// Requests that may wait.
    pub max_waiting: usize,
    pub rejected: Vec<Time>,
    pub served: Vec<Time>,
}

impl Room {
    /// Creates an idle endpoint.
    pub fn new(slots: usize, max_waiting: usize) -> Self {
        Self {
            free_at: vec![Time(0); slots],
            starts: Vec::new(),
            max_waiting,
            rejected: Vec::new(),
            served: Vec::new(),
        }
    }

    /// Offers a request that takes `duration`, and returns when it ends; `None` if it is rejected for want of room.
    pub fn offer(&mut self, duration: Millis, now: Time) -> Option<Time> {
        self.starts.retain(|start| *start > now);
        let slot = self.free_at.iter_mut().min().expect("a slot");
        if *slot > now && self.starts.len() >= self.max_waiting {
            self.rejected.push(now);
            return None;
        }
        let start = (*slot).max(now);
        *slot = start + duration;
        self.starts.push(start);
        self.served.push(start + duration);
        Some(start + duration)
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self, now: Time) -> usize {
        self.starts.iter().filter(|start| **start > now).count()
    }

    /// Takes slots for requests of nobody, until they end.
    pub fn occupy(&mut self, slots: usize, until: Time) {
        for free_at in self.free_at.iter_mut().take(slots) {
            *free_at = (*free_at).max(until);
        }
    }

    /// Returns the largest number of rejections in a second that begins at `from` or later.
    pub fn most_rejected(&self, from: Time) -> usize {
        let times: Vec<_> = self.rejected.iter().filter(|at| **at >= from).collect();
        let in_second = |first: usize| {
            times[first..]
                .iter()
                .take_while(|at| at.since(*times[first]) < SECOND)
                .count()
        };
        (0..times.len()).map(in_second).max().unwrap_or_default()
    }

    /// Returns the requests a second that ended between two points in time.
    pub fn served_per_second(&self, from: Time, until: Time) -> f64 {
        let ended = self.served.iter().filter(|at| **at >= from && **at < until).count();
        ended as f64 / Duration::from_millis(until.since(from).0).as_secs_f64()
    }
}
