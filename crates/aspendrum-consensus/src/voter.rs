//! Handles the requests of an epoch as a voter: as a replica of the registers (Attiya, Bar-Noy and Dolev, 1995) and as
//! a Paxos acceptor. State changes that a reply depends on are persisted before the reply is sent.

use crate::ballot::Ballot;
use crate::effect::Effect;
use crate::membership::Voters;
use crate::message::{ReadReply, Reply, Request, SuccessorAnswer};
use crate::replica_core::ReplicaCore;
use crate::replicated_state::ReplicatedState;
use crate::versions::{ConfigText, VersionAnswer};

/// Handles a request of this node's epoch. Returns `None` if the node has not joined the epoch, or if the request
/// belongs to a command and the epoch does not accept commands.
pub(crate) fn answer(core: &mut ReplicaCore, request: Request) -> Option<Reply> {
    if !core.has_joined() {
        return None;
    }
    let is_membership_request = matches!(
        request,
        Request::PrepareSuccessor { .. } | Request::AcceptSuccessor { .. }
    );
    if !is_membership_request && !core.durable.epoch.accepts_commands() {
        return None;
    }
    let reply = match request {
        Request::Read { request_id, digest } => read(core, request_id, digest),
        Request::Write { request_id, state } => write(core, request_id, &state),
        Request::Prepare { version, ballot } => prepare_version(core, version, ballot),
        Request::Accept {
            version,
            ballot,
            text,
        } => accept_version(core, version, ballot, *text),
        Request::PrepareSuccessor { ballot } => prepare_successor(core, ballot),
        Request::AcceptSuccessor { ballot, voters } => accept_successor(core, ballot, voters),
    };
    Some(reply)
}

fn read(core: &ReplicaCore, request_id: u64, digest: u64) -> Reply {
    let replicated = &core.durable.replicated;
    let own_digest = replicated.digest();
    let state = (own_digest != digest).then(|| Box::new(replicated.clone()));
    let active_version = replicated.config_version();
    let undecided = core.durable.versions.highest_undecided(active_version);
    Reply::Read(ReadReply {
        request_id,
        digest: own_digest,
        state,
        undecided: undecided.map(Box::new),
    })
}

fn write(core: &mut ReplicaCore, request_id: u64, state: &ReplicatedState) -> Reply {
    core.store(state);
    Reply::Written { request_id }
}

fn prepare_version(core: &mut ReplicaCore, version: u32, ballot: Ballot) -> Reply {
    core.ballots.observe(ballot);
    let active_version = core.durable.replicated.config_version();
    let answer = core
        .durable
        .versions
        .prepare(version, ballot, active_version);
    version_reply(core, version, ballot, answer)
}

fn accept_version(core: &mut ReplicaCore, version: u32, ballot: Ballot, text: ConfigText) -> Reply {
    core.ballots.observe(ballot);
    let active_version = core.durable.replicated.config_version();
    let versions = &mut core.durable.versions;
    let answer = versions.accept(version, ballot, text, active_version);
    version_reply(core, version, ballot, answer)
}

fn version_reply(
    core: &mut ReplicaCore,
    version: u32,
    ballot: Ballot,
    answer: VersionAnswer,
) -> Reply {
    let has_changed = matches!(answer, VersionAnswer::Promised(_) | VersionAnswer::Accepted);
    if has_changed {
        core.push(Effect::Persist);
    }
    Reply::Version {
        version,
        ballot,
        answer: Box::new(answer),
    }
}

fn prepare_successor(core: &mut ReplicaCore, ballot: Ballot) -> Reply {
    core.ballots.observe(ballot);
    let answer = match core.durable.successor.prepare(ballot) {
        Ok(accepted) => SuccessorAnswer::Promised(accepted),
        Err(preempted) => SuccessorAnswer::Preempted(preempted.by),
    };
    successor_reply(core, ballot, answer)
}

fn accept_successor(core: &mut ReplicaCore, ballot: Ballot, voters: Voters) -> Reply {
    core.ballots.observe(ballot);
    let answer = match core.durable.successor.accept(ballot, voters) {
        Ok(()) => SuccessorAnswer::Accepted,
        Err(preempted) => SuccessorAnswer::Preempted(preempted.by),
    };
    successor_reply(core, ballot, answer)
}

fn successor_reply(core: &mut ReplicaCore, ballot: Ballot, answer: SuccessorAnswer) -> Reply {
    if !matches!(answer, SuccessorAnswer::Preempted(_)) {
        core.push(Effect::Persist);
    }
    Reply::Successor { ballot, answer }
}
