#include "context/answer.h"

#include "base/hashing.h"

namespace jujubefront {

std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kFinished:
      return "finished";
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kUnknown:
      return "outcome-unknown";
    case Verdict::kFailed:
      return "failed";
    case Verdict::kExpired:
      return "expired";
    case Verdict::kCondemned:
      return "condemned";
  }
  return "invalid";
}

std::string_view ReasonName(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kOverloaded:
      return "overloaded";
    case Reason::kRetryBudget:
      return "retry-budget";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kNoTarget:
      return "no-target";
    case Reason::kLeaving:
      return "leaving";
    case Reason::kJoining:
      return "joining";
    case Reason::kNoConfiguration:
      return "no-configuration";
    case Reason::kUnknownService:
      return "unknown-service";
    case Reason::kUnknownOperation:
      return "unknown-operation";
    case Reason::kSealed:
      return "sealed";
    case Reason::kTooDeep:
      return "too-deep";
    case Reason::kTooLarge:
      return "too-large";
    case Reason::kBackendUnreachable:
      return "backend-unreachable";
    case Reason::kBackendBroken:
      return "backend-broken";
    case Reason::kPeerLost:
      return "peer-lost";
    case Reason::kOtherIncarnation:
      return "other-incarnation";
    case Reason::kCorruptAnswer:
      return "corrupt-answer";
    case Reason::kMemoryLost:
      return "memory-lost";
    case Reason::kKeyTooOld:
      return "key-too-old";
    case Reason::kKeyFromFuture:
      return "key-from-future";
    case Reason::kCrashes:
      return "crashes";
    case Reason::kCancelled:
      return "cancelled";
  }
  return "invalid";
}

namespace {

// True for reasons that refuse a call before any run of it.
bool IsRefusal(Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kRetryBudget:
    case Reason::kNoTarget:
    case Reason::kLeaving:
    case Reason::kJoining:
    case Reason::kNoConfiguration:
      return true;
    default:
      return false;
  }
}

}  // namespace

int HttpStatusOf(const Answer& answer) {
  constexpr int kNotFound = 404;
  constexpr int kGone = 410;
  constexpr int kTooLarge = 413;
  constexpr int kUnprocessable = 422;
  constexpr int kBadGateway = 502;
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  switch (answer.verdict_) {
    case Verdict::kFinished:
      return answer.http_status_;
    case Verdict::kUnknown:
      return kGatewayTimeout;
    case Verdict::kFailed:
      return IsRefusal(answer.reason_) ? kUnavailable : kBadGateway;
    case Verdict::kExpired:
      return kGone;
    case Verdict::kCondemned:
      return kUnprocessable;
    case Verdict::kNotRun:
      break;
  }
  switch (answer.reason_) {
    case Reason::kUnknownService:
    case Reason::kUnknownOperation:
      return kNotFound;
    case Reason::kTooLarge:
      return kTooLarge;
    default:
      return kUnavailable;
  }
}

bool IsWhole(const Answer& answer, std::uint64_t stated_length) {
  const std::uint64_t length = answer.body_ ? answer.body_->size() : 0;
  if (length != stated_length) return false;
  if (length == 0) return true;
  return HashBytes(*answer.body_) == answer.body_hash_;
}

Answer NotRunAnswer(Reason reason, Duration retry_after) {
  Answer answer;
  answer.reason_ = reason;
  answer.retry_after_ = retry_after;
  return answer;
}

Answer EmptyAnswer(Verdict verdict, Reason reason) {
  Answer answer;
  answer.verdict_ = verdict;
  answer.reason_ = reason;
  return answer;
}

}  // namespace jujubefront
