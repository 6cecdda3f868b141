//! Resumes a stream at another source.

use sw_relay::{Choice, StallDetector};
use sw_store::Feed;
use sw_unit::{Millis, RegionId};

use super::outcome::ResumeTarget;
use super::{CALLER_GONE, Sender, StreamRelay};
use crate::incoming::{BodySource, IncomingResponse};
use crate::request::{start_attempt, start_endpoint_attempt};
use crate::reservation::reserve;
use crate::{Dialect, telemetry};

impl<D: Dialect, F: Feed> StreamRelay<D, F> {
    /// Returns another endpoint of this region for resuming the stream, or another VM if the source is out of reach;
    /// `None` if it is better to keep waiting.
    ///
    /// A stalled stream is abandoned only for a granted reservation (or an endpoint that needs none), because it cannot
    /// be picked up again. While draining, this VM keeps waiting for the stream unless its source is out of reach.
    pub(super) async fn resume_target(&self, is_out_of_reach: bool) -> Option<ResumeTarget<D, F>> {
        let is_draining = self.state.draining_for().is_some();
        if is_draining && !is_out_of_reach || !self.may_continue() {
            return None;
        }
        let choice = self.find_retry();
        let choice = choice.inspect_err(|why| self.log_wait(why)).ok()?;
        let coordinator = match &choice {
            Choice::Endpoint { endpoint, .. } if self.history.has_endpoint(&endpoint.id) => return None,
            Choice::Endpoint { coordinator, .. } => coordinator.clone(),
            Choice::Vm { .. } if is_out_of_reach => None,
            Choice::Vm { .. } => return None,
        };
        let reservation = match coordinator {
            None => None,
            Some(coordinator) => {
                let reserved = reserve(&self.state, &self.request, &coordinator, &mut self.history.clone()).await;
                let reservation = reserved.ok()?;
                // Without its coordinator's grant, an endpoint is preferred only to a source that is out of reach.
                if reservation.grant().is_none() && !is_out_of_reach {
                    return None;
                }
                Some(reservation)
            }
        };
        let mut relay = self.state.relay.borrow_mut();
        let is_permitted = relay.withdraw_retry(&self.request.admitted, &self.history);
        is_permitted.then_some(ResumeTarget { choice, reservation })
    }

    /// Starts the rest of the stream at `target`; `None` if the silent source sends something before that responds, or if
    /// that fails.
    pub(super) async fn leave_silent(
        &mut self,
        target: ResumeTarget<D, F>,
        source: &mut BodySource<D, F>,
        tx: &Sender,
    ) -> Option<BodySource<D, F>> {
        self.silence = None;
        self.set_resume_point().ok()?;
        let part = tokio::select! {
            biased;
            () = tx.closed() => return None,
            part = source.next_unless_silent() => part,
            started = self.retry(Some(target)) => {
                let response = started.ok().flatten()?;
                return Some(self.continue_with(response));
            }
        };
        self.pending = Some(part);
        None
    }

    /// Resumes the stream elsewhere, first at `target`; `None` if that is not possible or the caller is gone.
    pub(super) async fn resume(
        &mut self,
        mut target: Option<ResumeTarget<D, F>>,
        tx: &Sender,
    ) -> Option<BodySource<D, F>> {
        if !self.is_resumable {
            return None;
        }
        if !self.may_continue() {
            return self.give_up("version_unknown");
        }
        if let Err(why) = self.set_resume_point() {
            return self.give_up(why);
        }
        while self.request.admitted.remaining(self.state.now()) > Millis(0) {
            let retried = tokio::select! {
                retried = self.retry(target.take()) => retried,
                () = tx.closed() => return self.give_up(CALLER_GONE),
            };
            let retried = match retried {
                Ok(retried) => retried,
                // Before its first event, the stream may still begin at another version.
                Err(_refused) if !self.has_started && self.request.admitted.unplace() => continue,
                Err(why) => return self.give_up(why),
            };
            if let Some(response) = retried {
                return Some(self.continue_with(response));
            }
        }
        self.give_up("timeout")
    }

    /// Sets the event after which another source goes on.
    ///
    /// # Errors
    ///
    /// Returns why none can: without the id of an event, it would start again.
    fn set_resume_point(&mut self) -> Result<(), &'static str> {
        self.request.last_event_id = self.events.last_event_id().map(str::to_owned);
        if self.has_started && self.request.last_event_id.is_none() {
            return Err("no_event_id");
        }
        Ok(())
    }

    /// Makes a response the source of the rest of the stream.
    fn continue_with(&mut self, response: IncomingResponse<D, F>) -> BodySource<D, F> {
        self.events.discard_partial();
        self.last_chunk_at = None;
        self.silence = None;
        self.source_has_event = false;
        self.stall = Some(StallDetector::new(response.first_event_deadline));
        self.software = response.software;
        self.endpoint = response.source.endpoint().cloned();
        response.source
    }

    /// Logs why the stream waits for a source that was just found to be silent.
    fn log_wait(&self, why: &'static str) {
        if self.silence.is_some_and(|silence| silence.is_first) {
            let left = self.request.admitted.remaining(self.state.now());
            telemetry::log_stream_waits(&self.request.admitted, why, left);
        }
    }

    /// Logs why the stream is not resumed.
    fn give_up<T>(&self, why: &'static str) -> Option<T> {
        let left = self.request.admitted.remaining(self.state.now());
        telemetry::log_not_resumed(&self.request.admitted, &self.history, why, left);
        None
    }

    /// Chooses the target of a retry, which is not withdrawn from the budget yet.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    fn find_retry(&self) -> Result<Choice, &'static str> {
        let admitted = &self.request.admitted;
        let mut relay = self.state.relay.borrow_mut();
        if !relay.has_retry(admitted, &self.history) {
            return Err("no_retry");
        }
        let choice = relay.choose(admitted, &self.history, self.state.now());
        choice.map_err(|refusal| refusal.kind.into())
    }

    /// Chooses the target of a retry, and withdraws it from the budget.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    fn choose_retry(&self) -> Result<Choice, &'static str> {
        let choice = self.find_retry()?;
        let mut relay = self.state.relay.borrow_mut();
        let is_permitted = relay.withdraw_retry(&self.request.admitted, &self.history);
        is_permitted.then_some(choice).ok_or("no_retry")
    }

    /// Retries the request; `None` if the retry failed.
    ///
    /// # Errors
    ///
    /// Returns why no retry is possible.
    async fn retry(
        &mut self,
        target: Option<ResumeTarget<D, F>>,
    ) -> Result<Option<IncomingResponse<D, F>>, &'static str> {
        let (choice, reservation) = match target {
            Some(ResumeTarget { choice, reservation }) => (choice, Some(reservation)),
            None => (self.choose_retry()?, None),
        };
        self.log_resumed(choice.remote_region(), choice.target());
        let response = match (&choice, reservation) {
            (Choice::Endpoint { endpoint, .. }, Some(reservation)) => {
                start_endpoint_attempt(&self.state, &self.request, endpoint, reservation, &mut self.history).await
            }
            _ => start_attempt(&self.state, &self.request, &choice, &mut self.history).await,
        };
        Ok(response.ok().filter(|response| self.format.matches(&response.head)))
    }

    /// Logs that the stream is resumed at `target`, which is in this VM's region unless another one is given.
    fn log_resumed(&self, region: Option<&RegionId>, target: &str) {
        let last_event_id = self.request.last_event_id.as_deref().unwrap_or_default();
        let options = self.state.options();
        let region = region.unwrap_or(&options.region);
        telemetry::log_resume(&self.state, &self.request.admitted, region, target, last_event_id);
    }

    /// Returns whether the rest of the stream may come from another endpoint.
    fn may_continue(&self) -> bool {
        let admitted = &self.request.admitted;
        let is_pinned = admitted.pinned_software.is_some();
        !self.has_started || is_pinned || self.state.relay.borrow().is_unversioned(&admitted.service)
    }
}
