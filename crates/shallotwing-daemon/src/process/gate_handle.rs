//! The actor that owns the gate.

use futures::FutureExt as _;
use sw_error::{Kind, Refusal};
use sw_gate::Gate;
use sw_time::{Clock as _, SystemClock};
use sw_unit::Time;
use xtra::{Actor, Address, Context, Handler, Mailbox};

/// Owns the gate and the clock; handles one message at a time.
#[derive(Debug, Actor)]
struct GateActor {
    gate: Gate,
    clock: SystemClock,
}

/// A closure to run on the gate, with the current time.
struct Step<F>(F);

impl<F, R> Handler<Step<F>> for GateActor
where
    F: FnOnce(&mut Gate, Time) -> R + Send + 'static,
    R: Send + 'static,
{
    type Return = R;

    async fn handle(&mut self, Step(step): Step<F>, _: &mut Context<Self>) -> R {
        step(&mut self.gate, self.clock.now())
    }
}

/// A handle to the actor that owns the gate.
#[derive(Debug, Clone)]
pub(crate) struct GateHandle {
    address: Address<GateActor>,
}

impl GateHandle {
    /// Starts the actor.
    pub(crate) fn start(gate: Gate, clock: SystemClock) -> Self {
        Self {
            address: xtra::spawn_tokio(GateActor { gate, clock }, Mailbox::unbounded()),
        }
    }

    /// Runs a step on the gate and returns its result.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Stopping`] if the actor has ended, which happens only when the process exits.
    pub(crate) async fn run<F, R>(&self, step: F) -> Result<R, Refusal>
    where
        F: FnOnce(&mut Gate, Time) -> R + Send + 'static,
        R: Send + 'static,
    {
        self.address
            .send(Step(step))
            .await
            .map_err(|_ended| Kind::Stopping.into())
    }

    /// Enqueues a step to run on the gate, without waiting for it; usable where nothing can be awaited, as in `Drop`.
    pub(crate) fn post<F>(&self, step: F)
    where
        F: FnOnce(&mut Gate, Time) + Send + 'static,
    {
        // The mailbox is unbounded, so the first poll enqueues the message.
        let _enqueued = self.address.send(Step(step)).detach().now_or_never();
    }
}
