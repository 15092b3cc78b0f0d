#include "http/call_messages.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <array>
#include <charconv>

#include "context/answer.h"

namespace jujubefront {
namespace {

constexpr std::uint64_t kMaxAttempt = 1'000'000;
constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kMaxCustomerLength = 64;
constexpr std::size_t kMaxTicketLength = 16 * 1024;
constexpr int kHexadecimal = 16;
constexpr const char* kJson = "application/json";

bool IsCallMethod(std::string_view method) {
  constexpr std::array<std::string_view, 6> kMethods = {
      "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

std::optional<std::uint64_t> ParseNumber(std::string_view text, int base) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return number;
}

// Parses header values and keeps the first fault.
struct HeaderParser {
  const HeaderList& headers_;
  std::optional<RequestFault> fault_;

  void Fail(RequestFaultKind fault, std::string_view where) {
    if (!fault_) fault_ = {.fault_ = fault, .where_ = std::string(where)};
  }

  std::optional<std::uint64_t> Number(std::string_view name,
                                      std::uint64_t limit, int base = 10) {
    const std::string* text = FindHeader(headers_, name);
    if (text == nullptr) return std::nullopt;
    const auto number = ParseNumber(*text, base);
    if (!number) Fail(RequestFaultKind::kMalformed, name);
    if (number && *number > limit) Fail(RequestFaultKind::kOutOfRange, name);
    return number;
  }

  std::optional<RequestKey> Key() {
    std::string_view name = kKeyHeader;
    const std::string* text = FindHeader(headers_, name);
    if (text == nullptr) {
      name = kIdempotencyHeader;
      text = FindHeader(headers_, name);
    }
    if (text == nullptr) return std::nullopt;
    const auto key = ParseRequestKey(*text);
    if (!key) Fail(RequestFaultKind::kMalformed, name);
    return key;
  }

  std::string Text(std::string_view name, std::size_t limit) {
    const std::string* text = FindHeader(headers_, name);
    if (text == nullptr) return "";
    if (text->size() > limit) Fail(RequestFaultKind::kTooLarge, name);
    return *text;
  }
};

// Splits /SERVICE/PATH. Returns false if the service is missing.
bool SplitPath(const std::string& path, CallArrived& call) {
  if (path.size() < 2 || path.front() != '/') return false;
  const std::size_t slash = path.find_first_of("/?", 1);
  call.service_ =
      path.substr(1, slash == std::string::npos ? slash : slash - 1);
  call.path_ = slash == std::string::npos ? "/" : path.substr(slash);
  if (call.path_.front() != '/') call.path_.insert(0, "/");
  return !call.service_.empty();
}

std::int64_t WholeSeconds(Duration duration) {
  return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

HeaderList AnswerHeaders(const AnswerCaller& answer) {
  const Answer& result = answer.answer_;
  HeaderList headers = {
      {std::string(kVerdictHeader), std::string(VerdictName(result.verdict_))},
      {std::string(kKeyHeader), FormatRequestKey(answer.key_)},
      {std::string(kTriesHeader), std::to_string(answer.tries_)}};
  if (result.verdict_ != Verdict::kFinished) {
    headers.emplace_back(kReasonHeader, ReasonName(result.reason_));
    headers.emplace_back("Retry-After",
                         std::to_string(WholeSeconds(result.retry_after_)));
  }
  if (!result.ticket_.empty()) {
    headers.emplace_back(kTicketHeader, result.ticket_);
  }
  if (!result.served_by_.empty()) {
    headers.emplace_back(kServedByHeader, result.served_by_);
  }
  return headers;
}

std::string AnswerJson(const AnswerCaller& answer) {
  return "{\"verdict\":\"" + std::string(VerdictName(answer.answer_.verdict_)) +
         "\",\"reason\":\"" + std::string(ReasonName(answer.answer_.reason_)) +
         "\",\"key\":\"" + FormatRequestKey(answer.key_) + "\"}\n";
}

}  // namespace

std::string_view RequestFaultKindName(RequestFaultKind fault) {
  switch (fault) {
    case RequestFaultKind::kMalformed:
      return "malformed";
    case RequestFaultKind::kOutOfRange:
      return "out-of-range";
    case RequestFaultKind::kTooLarge:
      return "too-large";
    case RequestFaultKind::kMissingService:
      return "missing-service";
    case RequestFaultKind::kMethodNotAllowed:
      return "method-not-allowed";
  }
  return "invalid";
}

int StatusOfFault(RequestFaultKind fault) {
  constexpr int kBadRequest = 400;
  constexpr int kNotFound = 404;
  constexpr int kNotAllowed = 405;
  constexpr int kTooLarge = 413;
  switch (fault) {
    case RequestFaultKind::kMissingService:
      return kNotFound;
    case RequestFaultKind::kMethodNotAllowed:
      return kNotAllowed;
    case RequestFaultKind::kTooLarge:
      return kTooLarge;
    case RequestFaultKind::kMalformed:
    case RequestFaultKind::kOutOfRange:
      return kBadRequest;
  }
  return kBadRequest;
}

std::variant<CallArrived, RequestFault> ReadCall(const Http1Request& request) {
  CallArrived call{.method_ = request.method_};
  if (!request.body_.empty()) {
    call.body_ = std::make_shared<const std::string>(request.body_.str());
  }
  if (!IsCallMethod(request.method_)) {
    return RequestFault{RequestFaultKind::kMethodNotAllowed, "method"};
  }
  if (!SplitPath(request.target_, call)) {
    return RequestFault{RequestFaultKind::kMissingService, "path"};
  }
  HeaderParser parser{request.headers_, std::nullopt};
  call.key_ = parser.Key();
  call.customer_ = parser.Text(kCustomerHeader, kMaxCustomerLength);
  call.ticket_ = parser.Text(kTicketHeader, kMaxTicketLength);
  if (const auto attempt = parser.Number(kAttemptHeader, kMaxAttempt)) {
    call.attempt_ = static_cast<std::uint32_t>(*attempt);
  }
  if (const auto ms = parser.Number(kDeadlineHeader, kMaxDeadlineMs)) {
    call.remaining_ = std::chrono::milliseconds(static_cast<std::int64_t>(*ms));
  }
  call.parent_run_ = parser.Number(kRunHeader, ~0ULL, kHexadecimal);
  if (parser.fault_) return *parser.fault_;
  return call;
}

RequestFault RequestFaultOf(Http1Fault fault) {
  switch (fault) {
    case Http1Fault::kHeaderTooLarge:
      return {RequestFaultKind::kTooLarge, "headers"};
    case Http1Fault::kBodyTooLarge:
    case Http1Fault::kOutOfMemory:
      return {RequestFaultKind::kTooLarge, "body"};
    case Http1Fault::kNone:
    case Http1Fault::kMalformed:
    case Http1Fault::kUnsupportedCoding:
    case Http1Fault::kCutOff:
      return {RequestFaultKind::kMalformed, "request"};
  }
  return {};
}

Http1Response RefuseRequest(const RequestFault& fault) {
  const QJsonObject body{
      {"verdict", "not-run"},
      {"reason", "bad-request"},
      {"fault",
       QString::fromStdString(std::string(RequestFaultKindName(fault.fault_)))},
      {"where", QString::fromStdString(fault.where_)}};
  return {.status_ = StatusOfFault(fault.fault_),
          .headers_ = {{std::string(kVerdictHeader), "not-run"},
                       {std::string(kReasonHeader), "bad-request"},
                       {"Content-Type", kJson}},
          .body_ = QJsonDocument(body)
                       .toJson(QJsonDocument::Compact)
                       .append('\n')
                       .toStdString()};
}

Http1Response MakeResponse(const AnswerCaller& answer) {
  const Answer& result = answer.answer_;
  Http1Response response{.status_ = HttpStatusOf(result),
                         .headers_ = AnswerHeaders(answer)};
  std::string content_type = kJson;
  if (result.verdict_ != Verdict::kFinished) {
    response.body_ = AnswerJson(answer);
  } else {
    if (!result.content_type_.empty()) content_type = result.content_type_;
    if (result.body_) response.body_ = *result.body_;
  }
  response.headers_.emplace_back("Content-Type", std::move(content_type));
  return response;
}

Http1Request MakeBackendRequest(const RunBackend& run,
                                const std::string& address,
                                Duration remaining) {
  char run_text[17];
  std::snprintf(run_text, sizeof(run_text), "%016llx",
                static_cast<unsigned long long>(run.run_id_));
  const auto remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
  Http1Request request{
      .method_ = run.context_.method_,
      .target_ = run.context_.path_,
      .headers_ = {
          {"Host", address},
          {std::string(kRunHeader), run_text},
          {std::string(kKeyHeader), FormatRequestKey(run.context_.key_)},
          {std::string(kCustomerHeader), run.context_.customer_},
          {std::string(kDepthHeader), std::to_string(run.context_.depth_)},
          {std::string(kDeadlineHeader),
           std::to_string(std::max<std::int64_t>(remaining_ms.count(), 0))}}};
  if (run.body_) {
    request.headers_.emplace_back("Content-Type", kJson);
    request.body_ = *run.body_;
  }
  return request;
}

}  // namespace jujubefront
