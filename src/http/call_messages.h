#ifndef JUJUBEFRONT_HTTP_CALL_MESSAGES_H_
#define JUJUBEFRONT_HTTP_CALL_MESSAGES_H_

#include <string>
#include <string_view>
#include <variant>

#include "http/http_errors.h"
#include "http1/http1_types.h"
#include "node/effect_types.h"
#include "node/event_types.h"

namespace jujubefront {

// HTTP headers of calls from clients to nodes and from nodes to backend
// servers, and of the responses.
inline constexpr std::string_view kKeyHeader = "Jujubefront-Key";
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
inline constexpr std::string_view kAttemptHeader = "Jujubefront-Attempt";
inline constexpr std::string_view kDeadlineHeader = "Jujubefront-Deadline-Ms";
inline constexpr std::string_view kCustomerHeader = "Jujubefront-Customer";
inline constexpr std::string_view kTicketHeader = "Jujubefront-Ticket";
inline constexpr std::string_view kRunHeader = "Jujubefront-Run";
inline constexpr std::string_view kDepthHeader = "Jujubefront-Depth";
inline constexpr std::string_view kVerdictHeader = "Jujubefront-Verdict";
inline constexpr std::string_view kReasonHeader = "Jujubefront-Reason";
inline constexpr std::string_view kServedByHeader = "Jujubefront-Served-By";
inline constexpr std::string_view kTriesHeader = "Jujubefront-Tries";

// Parses a call from a request, or returns what is wrong with the request.
std::variant<CallArrived, RequestFault> ReadCall(const Http1Request& request);

// The fault to report to the client for a request that could not be parsed.
RequestFault RequestFaultOf(Http1Fault fault);

// Builds the error response to an invalid request.
Http1Response RefuseRequest(const RequestFault& fault);

// Builds the response to the caller from the answer to its call.
Http1Response MakeResponse(const AnswerCaller& answer);

// Builds the request that sends a call to a backend server.
Http1Request MakeBackendRequest(const RunBackend& run,
                                const std::string& address, Duration remaining);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP_CALL_MESSAGES_H_
