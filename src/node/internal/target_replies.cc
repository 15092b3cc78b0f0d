#include "node/internal/target_replies.h"

#include <algorithm>

#include "membership/membership.h"

namespace jujubefront {
namespace {

// Returns the admission level reported to callers: the minimum of the local
// level and the levels of the services that runs of this class call.
AdmissionLevel LevelFor(const StepContext& step,
                        const std::string& class_name) {
  AdmissionLevel level = step.state_.admission_.level_.level_;
  const auto found = step.state_.downstream_.find(class_name);
  if (found == step.state_.downstream_.end()) return level;
  for (const auto& [service, report] : found->second) {
    level = std::min(level, LevelNow(report, step.now_));
  }
  return level;
}

std::uint64_t LengthOf(const Answer& answer) {
  return answer.body_ ? answer.body_->size() : 0;
}

}  // namespace

void ReplyRun(StepContext& step, std::uint64_t inbound_id,
              const CallContext& context, Answer answer) {
  answer.level_ = LevelFor(step, context.class_name_);
  answer.credit_left_ = context.credit_;
  answer.served_by_ = step.options_.name_;
  const std::uint64_t length = LengthOf(answer);
  step.effects_.emplace_back(ReplyPeer{
      .inbound_id_ = inbound_id,
      .message_ =
          RunReply{.answer_ = std::move(answer), .body_length_ = length}});
}

void ReplyAsk(StepContext& step, std::uint64_t inbound_id, AskVerdict verdict,
              const Answer& answer, const std::string& service) {
  AskReply reply{.verdict_ = verdict,
                 .answer_ = answer,
                 .body_length_ = LengthOf(answer),
                 .members_ = ListService(step.state_.membership_, service)};
  reply.answer_.served_by_ = step.options_.name_;
  step.effects_.emplace_back(
      ReplyPeer{.inbound_id_ = inbound_id, .message_ = std::move(reply)});
}

}  // namespace jujubefront
