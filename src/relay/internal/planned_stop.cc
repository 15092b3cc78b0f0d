#include "relay/internal/relay_step.h"

namespace jujubefront {
namespace {

// Requests that are still open are answered this long before the stop limit.
constexpr Duration kFinalAnswersMargin = std::chrono::milliseconds(300);
// Time for the response of a run that ends at its deadline.
constexpr Duration kResponseMargin = std::chrono::milliseconds(150);

}  // namespace

void UpdateReady(RelayStep& step) {
  RelayState& state = step.state_;
  const bool ready =
      state.table_.version_ != 0 && !state.stopping_ && !state.cut_off_;
  if (ready == state.ready_) return;
  state.ready_ = ready;
  step.effects_.emplace_back(SetReady{.ready_ = ready});
}

void OnStopRequested(RelayStep& step) {
  RelayState& state = step.state_;
  if (state.stopping_) return;
  state.stopping_ = true;
  state.stop_at_ = step.now_;
  step.effects_.emplace_back(Decision{
      .kind_ = DecisionKind::kStopping,
      .trace_id_ = {},
      .inputs_ = {
          {"requests", static_cast<std::int64_t>(state.requests_.size())},
          {"runs", static_cast<std::int64_t>(state.runs_.size())}}});
  UpdateReady(step);
  step.effects_.emplace_back(CloseClients{});
  BroadcastStatus(step);
}

Timestamp FinalAnswersAt(const RelayStep& step) {
  if (!step.state_.stopping_) return Timestamp::max();
  return step.state_.stop_at_ + step.options_.stop_limit_ - kFinalAnswersMargin;
}

Timestamp LatestRunEnd(const RelayStep& step) {
  if (!step.state_.stopping_) return Timestamp::max();
  return FinalAnswersAt(step) - kResponseMargin;
}

void TickStop(RelayStep& step) {
  RelayState& state = step.state_;
  if (!state.stopping_ || state.stopped_) return;
  const Duration since = step.now_ - state.stop_at_;
  const bool idle = state.requests_.empty() && state.runs_.empty();
  if (since < step.options_.stop_linger_) return;
  if (!idle && step.now_ < FinalAnswersAt(step)) return;
  if (!idle && !state.final_answers_sent_) {
    // The process exits at a later tick, so that the answers can be sent.
    state.final_answers_sent_ = true;
    return AnswerOpenRequests(step);
  }
  if (!idle && since < step.options_.stop_limit_) return;
  state.stopped_ = true;
  step.effects_.emplace_back(
      EndProcess{.cut_off_ = state.requests_.size(),
                 .deliver_until_ = state.stop_at_ + step.options_.stop_limit_});
}

}  // namespace jujubefront
