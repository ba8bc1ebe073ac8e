//! The calls of an entry: their numbers and the handling of their results.

use oatpier_types::clock::ClockTime;
use oatpier_types::ids::Generation;

use super::member::{Actions, CallPurpose, EntryMember};
use super::{CallNumber, EntryAction};
use crate::exchange::ExchangeAction;
use crate::generation::ConfigPayload;
use crate::messages::{EntryContact, GossipAnswer, PeerAnswer, PeerCall};
use crate::registrar::RegistrarVote;
use crate::spread::{SpreadAction, SpreadEvent};

impl<P: ConfigPayload> EntryMember<P> {
    pub(super) fn observe_generation(
        &mut self,
        from: EntryContact,
        generation: Generation,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        let seen = SpreadEvent::GenerationSeen { from, generation };
        self.run_spreader(seen, now, actions);
    }

    pub(super) fn run_spreader(
        &mut self,
        event: SpreadEvent<P>,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        let peers = self.peers();
        for action in self.spreader.handle(event, &peers, now) {
            match action {
                SpreadAction::ReadStore => actions.push(EntryAction::ReadConfig),
                SpreadAction::WatchStore { after, wait } => {
                    actions.push(EntryAction::WatchConfig { after, wait });
                }
                SpreadAction::InForce(held) => actions.push(EntryAction::InForce(held)),
                SpreadAction::Pull { to, pull } => {
                    self.call(to, CallPurpose::Pull, PeerCall::Pull(pull), actions);
                }
                SpreadAction::Push { to, push } => {
                    self.call(to, CallPurpose::Push, PeerCall::Push(push), actions);
                }
            }
        }
    }

    pub(super) fn send(
        &mut self,
        sent: Vec<ExchangeAction>,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        for action in sent {
            match action {
                ExchangeAction::Gossip { to, mut gossip } => {
                    gossip.summaries = self.summaries.take_forwarded(now);
                    let body = PeerCall::Gossip(gossip);
                    self.call(to, CallPurpose::Gossip, body, actions);
                }
                ExchangeAction::Summary { to, call } => {
                    self.call(to, CallPurpose::Summary, PeerCall::Summary(call), actions);
                }
                ExchangeAction::IncarnationRaised => self.renew_votes(now),
                ExchangeAction::Former { former } => {
                    self.spreader.raise_floor(former.generation);
                }
                ExchangeAction::PeerChanged { .. } => {}
            }
        }
    }

    pub(super) fn end_call(
        &mut self,
        call: CallNumber,
        answer: Option<PeerAnswer<P>>,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        let Some((peer, purpose)) = self.calls.swap_remove(&call) else {
            return;
        };
        match purpose {
            CallPurpose::Gossip => self.end_gossip(&peer, answer, now, actions),
            CallPurpose::Summary => self.end_summary(&peer, answer, now, actions),
            CallPurpose::Pull => {
                let answer = match answer {
                    Some(PeerAnswer::Pull(answer)) => Some(answer),
                    _ => None,
                };
                let ended = SpreadEvent::PullEnded { from: peer, answer };
                self.run_spreader(ended, now, actions);
            }
            CallPurpose::Push => {
                let ack = match answer {
                    Some(PeerAnswer::Push(ack)) => Some(ack),
                    _ => None,
                };
                if let Some(ack) = ack {
                    self.registrar
                        .record_generation(&peer.daemon, ack.generation);
                }
                let ended = SpreadEvent::PushEnded { to: peer, ack };
                self.run_spreader(ended, now, actions);
            }
        }
    }

    fn end_gossip(
        &mut self,
        peer: &EntryContact,
        answer: Option<PeerAnswer<P>>,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        let sent = if let Some(PeerAnswer::Gossip(answer)) = answer {
            self.handle_gossip_answer(peer, &answer, now, actions)
        } else {
            self.check_isolation(now);
            self.exchange
                .handle_loss(&peer.daemon, &mut self.table, now)
        };
        self.send(sent, now, actions);
    }

    fn handle_gossip_answer(
        &mut self,
        peer: &EntryContact,
        answer: &GossipAnswer,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) -> Vec<ExchangeAction> {
        for summary in &answer.summaries {
            self.zone_summaries.merge(summary, now);
        }
        self.observe_generation(peer.clone(), answer.generation, now, actions);
        let (table, stops) = (&mut self.table, &mut self.stops);
        self.exchange
            .handle_answer(&peer.daemon, answer, table, stops, now)
    }

    fn end_summary(
        &mut self,
        peer: &EntryContact,
        answer: Option<PeerAnswer<P>>,
        now: ClockTime,
        actions: &mut Actions<P>,
    ) {
        let Some(PeerAnswer::Summary(answer)) = answer else {
            self.summaries.handle_end(peer, false);
            return;
        };
        self.summaries.handle_end(peer, true);
        self.summaries.add_contacts(&answer.contacts);
        self.observe_generation(peer.clone(), answer.generation, now, actions);
    }

    /// Sends all votes again under the current incarnation, as those under an earlier one are void.
    fn renew_votes(&mut self, now: ClockTime) {
        let own = self.exchange.own_row(self.spreader.generation());
        self.table.merge(&own, now);
        let votes: Vec<RegistrarVote> = self.registrar.votes();
        for vote in &votes {
            self.exchange.cast_vote(vote, &mut self.table);
        }
        self.exchange.renew_silent_votes(&mut self.table);
    }

    fn call(
        &mut self,
        to: EntryContact,
        purpose: CallPurpose,
        body: PeerCall<P>,
        actions: &mut Actions<P>,
    ) {
        let call = CallNumber(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, (to.clone(), purpose));
        actions.push(EntryAction::Call { call, to, body });
    }
}
