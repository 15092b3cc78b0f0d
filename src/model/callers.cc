#include "model/callers.h"

#include <cmath>

namespace jujubefront {
namespace {

constexpr Duration kClientDelay = std::chrono::milliseconds(8);
constexpr int kOk = 200;

}  // namespace

Callers::Callers(World& world, CallerModel model, std::vector<RateStep> rates,
                 Timestamp end)
    : world_(world),
      model_(std::move(model)),
      rates_(std::move(rates)),
      end_(end),
      random_{.state_ = NextRandom(world.random())} {}

void Callers::Start() {
  world_.At(rates_.front().from_, [this] { ScheduleNext(); });
}

double Callers::RateAt(Timestamp time) const {
  double rate = 0.0;
  for (const RateStep& step : rates_) {
    if (step.from_ <= time) rate = step.per_second_;
  }
  return rate;
}

void Callers::ScheduleNext() {
  const double rate = RateAt(world_.now());
  const double gap = -std::log(1.0 - NextUnit(random_)) / rate;
  const Timestamp next =
      world_.now() + Duration(static_cast<std::int64_t>(gap * 1e6));
  if (next >= end_) return;
  world_.At(next, [this] {
    Arrive();
    ScheduleNext();
  });
}

const CallerCall& Callers::PickCall() {
  double sum = 0.0;
  for (const CallerCall& call : model_.calls_) sum += call.weight_;
  double point = NextUnit(random_) * sum;
  for (const CallerCall& call : model_.calls_) {
    point -= call.weight_;
    if (point < 0.0) return call;
  }
  return model_.calls_.back();
}

std::string Callers::PickEntry() {
  const auto names = world_.NodeNames();
  for (;;) {
    const std::string& name = names[NextBelow(random_, names.size())];
    if (world_.IsAlive(name)) return name;
  }
}

void Callers::Arrive() {
  const std::uint64_t id = ++last_id_;
  Request& request = requests_[id];
  request.call_ = PickCall();
  request.key_ =
      MakeRequestKey(world_.now(), NextRandom(random_), NextRandom(random_));
  auto& outcomes = world_.totals().requests_;
  request.outcome_ = outcomes.size();
  outcomes.push_back(
      {.class_name_ = request.call_.class_name_, .first_sent_ = world_.now()});
  Send(id);
}

void Callers::Send(std::uint64_t id) {
  Request& request = requests_.at(id);
  ++world_.totals().requests_[request.outcome_].sends_;
  world_.totals().sends_at_.push_back(world_.now());
  request.waiting_ = true;
  request.entry_ = PickEntry();
  CallArrived call{.service_ = request.call_.service_,
                   .method_ = request.call_.method_,
                   .path_ = request.call_.path_,
                   .customer_ = "model",
                   .key_ = request.key_,
                   .attempt_ = request.attempt_,
                   .ticket_ = request.ticket_};
  const std::uint32_t attempt = request.attempt_;
  request.call_id_ = world_.SendCall(
      request.entry_, std::move(call), kClientDelay,
      [this, id, attempt](const AnswerCaller& answer) {
        world_.At(world_.now() + kClientDelay, [this, id, attempt, answer] {
          OnAnswer(id, attempt, answer);
        });
      });
  world_.At(world_.now() + model_.answer_timeout_,
            [this, id, attempt] { OnAnswerTimeout(id, attempt); });
}

void Callers::OnAnswer(std::uint64_t id, std::uint32_t attempt,
                       const AnswerCaller& answer) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  Request& request = found->second;
  if (!request.waiting_ || request.attempt_ != attempt) return;
  request.waiting_ = false;
  const bool ok = answer.answer_.verdict_ == Verdict::kFinished &&
                  answer.answer_.http_status_ == kOk;
  if (ok) {
    world_.totals().succeeded_roots_.insert(answer.key_);
    return End(id, true);
  }
  request.ticket_ = answer.answer_.ticket_;
  if (answer.answer_.verdict_ == Verdict::kNotRun) {
    // The request did not run; the contract requires a new key for the next
    // send.
    request.key_ =
        MakeRequestKey(world_.now(), NextRandom(random_), NextRandom(random_));
  }
  Resend(id, answer.answer_.retry_after_);
}

void Callers::OnAnswerTimeout(std::uint64_t id, std::uint32_t attempt) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  Request& request = found->second;
  if (!request.waiting_ || request.attempt_ != attempt) return;
  request.waiting_ = false;
  world_.AbandonCall(request.entry_, request.call_id_);
  Resend(id, Duration::zero());
}

void Callers::Resend(std::uint64_t id, Duration retry_after) {
  Request& request = requests_.at(id);
  if (request.attempt_ >= model_.max_resends_) return End(id, false);
  ++request.attempt_;
  const bool impatient = NextUnit(random_) < model_.impatient_share_;
  const Duration delay = impatient
                             ? model_.impatient_delay_
                             : std::max(retry_after, model_.impatient_delay_);
  world_.At(world_.now() + delay, [this, id] { Send(id); });
}

void Callers::End(std::uint64_t id, bool succeeded) {
  const Request& request = requests_.at(id);
  RequestOutcome& outcome = world_.totals().requests_[request.outcome_];
  outcome.ended_ = world_.now();
  outcome.succeeded_ = succeeded;
  requests_.erase(id);
}

}  // namespace jujubefront
