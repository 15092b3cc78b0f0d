#ifndef JUJUBEFRONT_HTTP_HTTP_ERRORS_H_
#define JUJUBEFRONT_HTTP_HTTP_ERRORS_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jujubefront {

// Kinds of faults in a client's HTTP request.
enum class RequestFaultKind : std::uint8_t {
  kMalformed,
  kOutOfRange,
  kTooLarge,
  kMissingService,
  kMethodNotAllowed,
};

// A fault and where it is: the name of a header, or a part of the request such
// as "body".
struct RequestFault {
  RequestFaultKind fault_ = RequestFaultKind::kMalformed;
  std::string where_;
};

// Name of a fault as sent to the client.
std::string_view RequestFaultKindName(RequestFaultKind fault);

// HTTP status of the response to a fault.
int StatusOfFault(RequestFaultKind fault);

}  // namespace jujubefront

#endif  // JUJUBEFRONT_HTTP_HTTP_ERRORS_H_
