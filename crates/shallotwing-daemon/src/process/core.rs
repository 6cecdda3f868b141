//! The actor that owns the gate.

use futures::FutureExt as _;
use sw_error::{Kind, Refusal};
use sw_gate::Gate;
use sw_time::{Clock as _, SystemClock};
use sw_unit::Time;
use xtra::{Actor, Address, Context, Handler, Mailbox};

/// Owns the gate and reads the clock for it; one message is handled at a time.
#[derive(Debug, Actor)]
struct GateActor {
    gate: Gate,
    clock: SystemClock,
}

/// A step of a decision, run on the gate with the time.
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

/// The address of the gate's actor.
#[derive(Debug, Clone)]
pub(crate) struct Core {
    address: Address<GateActor>,
}

impl Core {
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
    /// Refuses with [`Kind::Stopping`] if the actor has ended, which it does only with the process.
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

    /// Runs a step on the gate later, without waiting for it; usable where nothing can be awaited.
    pub(crate) fn post<F>(&self, step: F)
    where
        F: FnOnce(&mut Gate, Time) + Send + 'static,
    {
        // The mailbox is unbounded, so the first poll enqueues the message.
        let _enqueued = self.address.send(Step(step)).detach().now_or_never();
    }
}
