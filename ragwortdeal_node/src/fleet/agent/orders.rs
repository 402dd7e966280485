//! Gives orders to the engine, one at a time, and follows each until it is settled how it ended.

use ragwortdeal_core::orders::outstanding;

use super::{Agent, engine};
use crate::fleet::dialect;

/// The orders to the engine.
pub(super) type OrderBook = outstanding::OrderBook<engine::LoadOrder>;

impl Agent {
    /// Permission for the next step, unless an order may still be accepted by this report.
    pub(super) fn settle(
        &self,
        orders: &mut OrderBook,
        report: &dialect::EngineReport,
    ) -> Option<outstanding::Settled> {
        let (settled, ended) = orders.report(engine::count_of(report), report.busy);
        if let Some(ended) = ended {
            self.log_settled(&ended);
        }
        settled
    }

    /// Gives an order. Returns whether the engine accepted it; where it does not answer, the order
    /// stays outstanding.
    pub(super) async fn give(
        &self,
        orders: &mut OrderBook,
        settled: outstanding::Settled,
        order: engine::LoadOrder,
    ) -> bool {
        let Some(expected) = orders.give(settled, order.clone(), self.clock.now_ms()) else {
            return false;
        };
        let status = self.send_order(&order, expected).await;
        self.take_answer(orders, status, &order, expected)
    }

    /// Gives the outstanding order once more. An engine accepts one of the two, so that the answer
    /// or the next report settles both.
    pub(super) async fn repeat(&self, orders: &mut OrderBook) {
        let Some((order, expected)) = orders.repeat() else {
            return;
        };
        let status = self.send_order(&order, expected).await;
        self.take_answer(orders, status, &order, expected);
    }

    fn take_answer(
        &self,
        orders: &mut OrderBook,
        status: Option<u16>,
        order: &engine::LoadOrder,
        expected: outstanding::OrderCount,
    ) -> bool {
        let answer = outstanding::Answer::of_status(status);
        if answer == outstanding::Answer::Nothing {
            log::warn!(
                version = order.weights.version, expected_orders = expected.accepted, status:?;
                "agent: no answer to an order, it may still be accepted"
            );
            self.telemetry.count("agent.orders_unanswered", 1);
        }
        let ended = orders.answer(answer);
        if let Some(ended) = ended.as_ref().filter(|ended| ended.repeats > 0) {
            self.log_settled(ended);
        }
        ended.is_some_and(|ended| ended.end == outstanding::End::Accepted)
    }

    /// Logs how an order ended that got no answer at first.
    fn log_settled(&self, ended: &outstanding::Ended<engine::LoadOrder>) {
        let after_ms = self.clock.now_ms().saturating_sub(ended.given_at_ms);
        let (outcome, counter) = match ended.end {
            outstanding::End::Accepted => ("accepted late", "agent.orders_accepted_late"),
            outstanding::End::Refused => ("refused", "agent.orders_refused_late"),
            outstanding::End::EngineRestarted => {
                ("the engine started again", "agent.orders_lost_with_engine")
            }
        };
        log::warn!(
            version = ended.order.weights.version, expected_orders = ended.expected.accepted,
            repeats = ended.repeats, after_ms, outcome;
            "agent: an order without an answer is settled"
        );
        self.telemetry.count(counter, 1);
        self.telemetry.took("agent.order_settled_ms", after_ms);
    }
}
