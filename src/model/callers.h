#ifndef JUJUBEFRONT_MODEL_CALLERS_H_
#define JUJUBEFRONT_MODEL_CALLERS_H_

#include <vector>

#include "model/world.h"

namespace jujubefront {

// Arrival rate from a time until the next step.
struct RateStep {
  Timestamp from_;
  double per_second_ = 0.0;
};

// Open-loop load generator: requests arrive at a given rate, independently of
// the outcome of earlier ones. A request that gets no answer or an unsuccessful
// one is resent.
class Callers {
 public:
  Callers(World& world, CallerModel model, std::vector<RateStep> rates,
          Timestamp end);

  // Schedules the first arrival.
  void Start();

 private:
  struct Request {
    CallerCall call_;
    RequestKey key_;
    std::uint32_t attempt_ = 0;
    std::string ticket_;
    bool waiting_ = false;
    std::uint64_t call_id_ = 0;  // of the latest send
    std::string entry_;
    std::size_t outcome_ = 0;  // index into ModelTotals::requests_
  };

  double RateAt(Timestamp time) const;
  void ScheduleNext();
  void Arrive();
  const CallerCall& PickCall();
  std::string PickEntry();
  void Send(std::uint64_t id);
  void OnAnswer(std::uint64_t id, std::uint32_t attempt,
                const AnswerCaller& answer);
  void OnAnswerTimeout(std::uint64_t id, std::uint32_t attempt);
  void Resend(std::uint64_t id, Duration retry_after);
  void End(std::uint64_t id, bool succeeded);

  World& world_;
  CallerModel model_;
  std::vector<RateStep> rates_;
  Timestamp end_;
  RandomState random_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<std::uint64_t, Request> requests_;
};

}  // namespace jujubefront

#endif  // JUJUBEFRONT_MODEL_CALLERS_H_
