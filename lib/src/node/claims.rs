//! Connects the claims to the rest of the control thread.

use crate::{
    audit::trail::Trail,
    claim::{
        ClaimRequest, ClaimResponse,
        claims::{Claims, Config, Effect, Event},
    },
    declaration::{DeclarationSet, RetryPolicy},
    ids::{DaemonId, Incarnation, ServiceName},
    node::{
        control::{CLAIM_RETRY_AFTER, CallOwner, Control, Output},
        message::PeerMessage,
    },
    peer::Recipient,
    units::Time,
};

impl Control {
    /// Sets the configuration of claims; must be called before the first input.
    #[must_use]
    pub fn with_claims(mut self, cfg: Config) -> Self {
        self.claims_config = cfg;
        self
    }

    /// Returns how many claim outcomes and audit trail entries are not yet written.
    pub fn pending_writes(&self) -> usize {
        let claims = self.claims.as_ref().map_or(0, Claims::pending_writes);
        claims + self.trail.as_ref().map_or(0, Trail::waiting)
    }

    pub(super) fn init_claims(&mut self, now: Time, daemon: DaemonId, incarnation: Incarnation) {
        let mut claims = Claims::new(self.claims_config.clone(), daemon, incarnation);
        let wall = self.wall(now);
        let services = services_with_claims(&self.snapshot.set);
        claims.handle(now, wall, Event::Services(services), &mut Vec::new());
        self.claims = Some(claims);
    }

    /// Passes an event to the claims and applies the effects.
    ///
    /// Claim requests that arrive before the daemon has its identity are answered as unavailable.
    pub(super) fn claims(&mut self, now: Time, event: Event, out: &mut Vec<Output>) {
        let wall = self.wall(now);
        let mut effects = Vec::new();
        match (&mut self.claims, event) {
            (Some(claims), event) => claims.handle(now, wall, event, &mut effects),
            (None, Event::Acquire(claim_request)) => out.push(unavailable_response(claim_request)),
            (None, _) => {}
        }
        for effect in effects {
            out.push(match effect {
                Effect::Call(call, priority, operation) => {
                    Output::Call { owner: CallOwner::Claims, call, priority, operation }
                }
                Effect::Respond(request, answer) => Output::ClaimResponded(request, answer),
                Effect::Send(daemon, message) => {
                    Output::Send(Recipient::Daemon(daemon), PeerMessage::Claim(message))
                }
                Effect::Rejected(reason) => Output::Rejected(reason),
            });
        }
    }

    pub(super) fn update_claim_services(&mut self, now: Time, out: &mut Vec<Output>) {
        let services = services_with_claims(&self.snapshot.set);
        self.claims(now, Event::Services(services), out);
    }
}

fn unavailable_response(claim_request: ClaimRequest) -> Output {
    Output::ClaimResponded(
        claim_request.request,
        ClaimResponse::Unavailable { retry_after: CLAIM_RETRY_AFTER },
    )
}

fn services_with_claims(set: &DeclarationSet) -> Box<[ServiceName]> {
    let claimed = set.services.iter().filter(|(_, service)| {
        let mut rules = service.retry_policy_by_method.values().chain([&service.retry_policy]);
        rules.any(|&rule| rule == RetryPolicy::Never)
    });
    claimed.map(|(name, _)| name.clone()).collect()
}
