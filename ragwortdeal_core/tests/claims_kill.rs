//! Kills of entry, agent, leader and upstream at each step of an operation, under four policies.

#[path = "claims/sim.rs"]
mod sim;

use std::mem;

use googletest::prelude::*;
use ragwortdeal_core::claims::{operation, state};
use sim::{Fault, Kind, Message, Policy, Sim};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victim {
    Entry,
    Agent,
    Leader,
    Upstream,
}

/// The window in which the victim dies: the message that is on its way just then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    BeforeClaim,
    Claimed,
    Sent,
    Started,
    Ran,
    Answered,
    Recorded,
}

const VICTIMS: [Victim; 4] = [Victim::Entry, Victim::Agent, Victim::Leader, Victim::Upstream];

const STEPS: [Step; 7] = [
    Step::BeforeClaim,
    Step::Claimed,
    Step::Sent,
    Step::Started,
    Step::Ran,
    Step::Answered,
    Step::Recorded,
];

/// How the message on its way fares: it is lost, or it arrives all the same (late, where the
/// victim is its sender).
const VARIANTS: [bool; 2] = [false, true];

fn is_record(command: &state::Command) -> bool {
    matches!(command, state::Command::Record { .. })
}

impl Step {
    fn is_at(self, message: &Message, recording: bool) -> bool {
        match self {
            Step::BeforeClaim => message.kind() == Kind::ToLog && !recording,
            Step::Claimed => message.kind() == Kind::FromLog && !recording,
            Step::Sent => message.kind() == Kind::Call,
            Step::Started => message.kind() == Kind::ToUpstream,
            Step::Ran => message.kind() == Kind::FromUpstream,
            Step::Answered => message.kind() == Kind::Answered,
            Step::Recorded => message.kind() == Kind::FromLog && recording,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Kill {
    victim: Victim,
    step: Step,
    arrives: bool,
}

/// What a kill leaves to happen later in the same run.
#[derive(Default)]
struct Pending {
    log_fails: bool,
    upstream_fails: bool,
    delayed: Vec<(usize, Message)>,
}

/// When the caller sends the operation again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resend {
    /// Twice in any case, the harder test.
    Always,
    /// Twice at most, while it has no answer.
    Unanswered,
}

/// A run and whether the kill came about, for some policies lack some steps.
struct Run {
    sim: Sim,
    struck: bool,
}

fn run(policy: Policy, fault: Fault, kill: Kill, resend: Resend) -> Run {
    let mut sim = Sim::new(policy, fault);
    let mut pending = Pending::default();
    sim.request(1);
    let mut kill = Some(kill);
    drain(&mut sim, &mut kill, &mut pending);
    for entry in [2, 3] {
        if resend == Resend::Always || !is_answered(&sim) {
            sim.request(entry);
            drain(&mut sim, &mut None, &mut pending);
        }
        let delayed = mem::take(&mut pending.delayed);
        sim.bag.extend(delayed);
        drain(&mut sim, &mut None, &mut pending);
    }
    Run { sim, struck: kill.is_none() }
}

fn is_answered(sim: &Sim) -> bool {
    let answer = |reply: &operation::Reply| matches!(reply, operation::Reply::Answer { .. });
    sim.requests.iter().flat_map(|request| &request.replies).any(answer)
}

fn drain(sim: &mut Sim, kill: &mut Option<Kill>, pending: &mut Pending) {
    let mut recording = false;
    while !sim.bag.is_empty() {
        let (number, message) = sim.bag.remove(0);
        if let Message::ToLog(command) = &message {
            recording = is_record(command);
        }
        if let Some(due) = *kill
            && due.step.is_at(&message, recording)
        {
            *kill = None;
            strike(sim, due, number, message, pending);
            continue;
        }
        step(sim, number, message, pending, kill_variant(*kill));
    }
}

fn kill_variant(kill: Option<Kill>) -> bool {
    kill.is_some_and(|kill| kill.arrives)
}

/// Delivers a message, unless an earlier kill makes it fail.
fn step(sim: &mut Sim, number: usize, message: Message, pending: &mut Pending, arrives: bool) {
    match message {
        Message::ToLog(command) if pending.log_fails => {
            pending.log_fails = false;
            fail_log(sim, number, command, arrives);
        }
        Message::ToUpstream(attempt, _) if pending.upstream_fails => {
            pending.upstream_fails = false;
            sim.agent.mark_not_forwarded(&attempt);
            sim.tell(number, operation::Event::LinkLost);
        }
        message => sim.deliver(number, message),
    }
}

fn fail_log(sim: &mut Sim, number: usize, command: state::Command, commits: bool) {
    if commits {
        sim.commit(command);
    }
    sim.bag.push((number, Message::FromLog(None)));
}

fn strike(sim: &mut Sim, kill: Kill, number: usize, message: Message, pending: &mut Pending) {
    match kill.victim {
        Victim::Entry => {
            sim.kill_entry(1);
            match message.kind() {
                // What the dead entry had sent may still be on its way for a long time.
                Kind::Call | Kind::ToLog if kill.arrives => pending.delayed.push((number, message)),
                Kind::Call | Kind::ToLog => {}
                _ => sim.bag.push((number, message)),
            }
        }
        Victim::Agent => {
            sim.restart_agent();
            match message.kind() {
                Kind::Call if kill.arrives => pending.delayed.push((number, message)),
                Kind::ToUpstream if kill.arrives => sim.bag.push((number, message)),
                Kind::Call | Kind::ToUpstream | Kind::FromUpstream | Kind::Answered => {}
                _ => sim.bag.push((number, message)),
            }
        }
        Victim::Leader => match message {
            Message::ToLog(command) => fail_log(sim, number, command, kill.arrives),
            Message::FromLog(_) => sim.bag.push((number, Message::FromLog(None))),
            message => {
                pending.log_fails = true;
                sim.bag.push((number, message));
            }
        },
        Victim::Upstream => strike_upstream(sim, kill, number, message, pending),
    }
}

fn strike_upstream(
    sim: &mut Sim,
    kill: Kill,
    number: usize,
    message: Message,
    pending: &mut Pending,
) {
    match message {
        Message::ToUpstream(attempt, _) if kill.arrives => {
            sim.agent.mark_lost(&attempt);
            sim.tell(number, operation::Event::LinkLost);
        }
        Message::ToUpstream(attempt, _) => {
            sim.agent.mark_not_forwarded(&attempt);
            sim.tell(number, operation::Event::LinkLost);
        }
        Message::FromUpstream(attempt, ..) => {
            sim.agent.mark_lost(&attempt);
            sim.tell(number, operation::Event::LinkLost);
        }
        message => {
            pending.upstream_fails = !matches!(message.kind(), Kind::Answered | Kind::FromLog);
            sim.bag.push((number, message));
        }
    }
}

/// Kills of one policy, by what they ended in.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    struck: usize,
    duplicates: usize,
    in_doubt: usize,
    answered: usize,
    false_refusals: usize,
    foreign_answers: usize,
}

fn tally(policy: Policy, fault: Fault, resend: Resend) -> Tally {
    let mut tally = Tally::default();
    for victim in VICTIMS {
        for step in STEPS {
            for arrives in VARIANTS {
                let run = run(policy, fault, Kill { victim, step, arrives }, resend);
                if run.struck {
                    count(&mut tally, &run.sim);
                }
            }
        }
    }
    tally
}

fn count(tally: &mut Tally, sim: &Sim) {
    tally.struck += 1;
    tally.duplicates += usize::from(sim.effects.len() > 1);
    tally.false_refusals += usize::from(sim.false_refusals() > 0);
    tally.foreign_answers += usize::from(sim.foreign_answers() > 0);
    match sim.requests.last().and_then(|request| request.replies.last()) {
        Some(operation::Reply::Answer { .. }) => tally.answered += 1,
        Some(operation::Reply::Unknown { .. }) => tally.in_doubt += 1,
        _ => {}
    }
}

/// A process dies while a credit transfer is under way, and the caller resends it at two other
/// entries. The ledger must show the transfer at most once; a member would otherwise lose hours.
#[googletest::test]
fn no_kill_leads_to_a_second_effect() {
    for policy in [Policy::Claim, Policy::Promise, Policy::PromiseAndKey] {
        let tally = tally(policy, Fault::None, Resend::Always);
        expect_that!(tally.struck, eq(56), "{policy:?}");
        expect_that!(tally.duplicates, eq(0), "{policy:?}");
        expect_that!(tally.false_refusals, eq(0), "{policy:?}");
        expect_that!(tally.foreign_answers, eq(0), "{policy:?}");
    }
}

macro_rules! figures {
    ($($case:ident: $policy:ident => ($struck:expr, $duplicates:expr, $in_doubt:expr),)*) => {$(
        /// The same kills with a caller that resends until it has an answer. Weaker policies
        /// double the transfer or leave the caller without an answer this often; the figures
        /// stand in docs/design/at-most-once.md.
        #[googletest::test]
        fn $case() {
            let tally = tally(Policy::$policy, Fault::None, Resend::Unanswered);
            println!("{:?}: {tally:?}", Policy::$policy);
            let figures = (tally.struck, tally.duplicates, tally.in_doubt);
            expect_that!(figures, eq(($struck, $duplicates, $in_doubt)));
        }
    )*};
}

figures! {
    figures_of_sending_again: Direct => (32, 14, 0),
    figures_of_a_claim: Claim => (56, 0, 29),
    figures_of_a_claim_and_promise: Promise => (56, 0, 11),
    figures_of_a_claim_promise_and_key: PromiseAndKey => (56, 0, 0),
}

/// The entry dies with a claim open and the caller never comes back. Another entry takes the claim
/// over, so that staff find only those that nobody else can settle.
#[googletest::test]
fn an_abandoned_claim_is_taken_over() {
    let mut left_open = 0;
    for step in STEPS {
        for arrives in VARIANTS {
            let mut sim = Sim::new(Policy::Promise, Fault::None);
            let mut pending = Pending::default();
            sim.request(1);
            let kill = Kill { victim: Victim::Entry, step, arrives };
            drain(&mut sim, &mut Some(kill), &mut pending);
            sim.reconcile(2);
            drain(&mut sim, &mut None, &mut pending);
            let open = sim.table.get(&sim::scoped_key().id());
            left_open += usize::from(open.is_some_and(|standing| !standing.state.is_final()));
            expect_that!(sim.false_refusals(), eq(0));
        }
    }
    expect_that!(left_open, eq(0));
}

macro_rules! planted {
    ($($case:ident: $fault:expr,)*) => {$(
        /// A mistake is planted that lets an attempt run after it was given up; the tally has to
        /// show a second effect, or it could not be trusted to show one of its own.
        #[googletest::test]
        fn $case() {
            expect_that!(tally(Policy::Promise, $fault, Resend::Always).duplicates, gt(0));
        }
    )*};
}

planted! {
    an_agent_speaking_for_its_former_life_is_noticed: Fault::SameIncarnation,
    a_forgotten_promise_is_noticed: Fault::ForgetPromise,
    a_doubt_taken_for_not_run_is_noticed: Fault::DoubtReleases,
}
