//! Periodic ticks.

use std::time::Duration;

use sw_unit::{Millis, Time};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use crate::Clock;

/// Creates subscriptions to periodic ticks, stamped with the time of one clock.
#[derive(Debug, Clone)]
pub struct TimerService<C> {
    clock: C,
}

impl<C: Clock> TimerService<C> {
    /// Creates a service that reads the time from `clock`.
    pub fn new(clock: C) -> Self {
        Self { clock }
    }

    /// Returns the clock.
    pub fn clock(&self) -> &C {
        &self.clock
    }

    /// Subscribes to ticks every `period`; they end when the subscription is dropped.
    ///
    /// A subscriber that misses several ticks gets one for all of them.
    pub fn subscribe(&self, period: Millis) -> Subscription {
        let (tx, rx) = watch::channel(self.clock.now());
        let clock = self.clock.clone();
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(Duration::from_millis(period.0.max(1)));
            interval.set_missed_tick_behavior(MissedTickBehavior::Skip);
            loop {
                interval.tick().await;
                if tx.send(clock.now()).is_err() {
                    return;
                }
            }
        });
        Subscription { rx }
    }
}

/// Stream of ticks that ends when it is dropped.
#[derive(Debug)]
pub struct Subscription {
    rx: watch::Receiver<Time>,
}

impl Subscription {
    /// Waits for the next tick and returns its time.
    pub async fn tick(&mut self) -> Time {
        if self.rx.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        *self.rx.borrow_and_update()
    }
}
