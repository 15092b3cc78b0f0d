#include "http1/http1_codec.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <limits>
#include <optional>
#include <set>

namespace jujubefront {
namespace {

namespace http = boost::beast::http;

// Limit for the chunked framing of a body: a few elements (chunk headers,
// trailer) of max_framing_bytes_ each, plus enough per body byte for chunks of
// one byte.
constexpr std::size_t kMaxFramingElements = 4;
constexpr std::size_t kMaxFramingPerBodyByte = 16;

Http1Fault FaultOf(const boost::beast::error_code& error) {
  if (error == http::error::header_limit) return Http1Fault::kHeaderTooLarge;
  if (error == http::error::body_limit) return Http1Fault::kBodyTooLarge;
  if (error == http::error::partial_message) return Http1Fault::kCutOff;
  return Http1Fault::kMalformed;
}

// Passes bytes to a parser until the message is complete or more are needed.
template <typename ParserType>
Http1Progress Feed(ParserType& parser, std::string_view bytes) {
  Http1Progress progress;
  while (progress.consumed_ < bytes.size() && !parser.is_done()) {
    boost::beast::error_code error;
    const auto rest = bytes.substr(progress.consumed_);
    std::size_t count = 0;
    try {
      count = parser.put(boost::asio::const_buffer(rest.data(), rest.size()),
                         error);
    } catch (const std::exception&) {
      // Beast throws std::length_error for a field of 64 KiB or more, as in a
      // trailer, to which its header limit does not apply.
      progress.fault_ = parser.is_header_done() ? Http1Fault::kMalformed
                                                : Http1Fault::kHeaderTooLarge;
      return progress;
    }
    progress.consumed_ += count;
    if (error == http::error::need_more) break;
    if (error) {
      progress.fault_ = FaultOf(error);
      return progress;
    }
    if (count == 0) break;
  }
  progress.complete_ = parser.is_done();
  return progress;
}

// Enforces limits that Beast does not have. Beast consumes a chunk header or
// the trailer only when it is complete, so the unconsumed bytes are limited. It
// consumes everything else as it arrives, including the extensions of many
// small chunks, so the total of the framing is limited too.
template <typename ParserState>
void CheckBounds(Http1Progress& progress, std::size_t size,
                 const Http1Limits& limits, MemoryClaim claim,
                 ParserState& state) {
  if (progress.fault_ != Http1Fault::kNone) return;
  if (!state.parser_.is_header_done()) return;
  const std::size_t body = state.parser_.get().body().size();
  state.consumed_ += progress.consumed_;
  const std::size_t framing = state.consumed_ - std::min(body, state.consumed_);
  const std::size_t kept = size - progress.consumed_;
  const bool endless = !progress.complete_ && kept > limits.max_framing_bytes_;
  const std::size_t max_framing =
      limits.max_header_bytes_ +
      kMaxFramingElements * limits.max_framing_bytes_ +
      kMaxFramingPerBodyByte * body;
  if (endless || framing > max_framing) {
    progress.fault_ = Http1Fault::kMalformed;
  } else if (!state.charge_.Set(body, claim)) {
    progress.fault_ = Http1Fault::kOutOfMemory;
  }
}

template <typename Fields>
HeaderList HeadersOf(const Fields& fields) {
  HeaderList headers;
  headers.reserve(12);
  for (const auto& field : fields) {
    headers.emplace_back(std::string(field.name_string()),
                         std::string(field.value()));
  }
  return headers;
}

template <typename Message>
SerializedMessage Serialize(Message& message, const SharedBytes& body,
                            bool with_body) {
  typename http::serializer<Message::is_request::value, http::empty_body>
      serializer(message);
  serializer.split(true);
  SerializedMessage serialized;
  boost::beast::error_code error;
  serializer.next(error, [&](auto&, const auto& buffers) {
    serialized.text_ = boost::beast::buffers_to_string(buffers);
  });
  if (!with_body) return serialized;
  if (body.size() > kSmallMessageBytes && body.counted()) {
    serialized.body_ = body;
  } else {
    serialized.text_ += body.view();
  }
  return serialized;
}

std::string ToText(SerializedMessage serialized) {
  serialized.text_ += serialized.body_.view();
  return std::move(serialized.text_);
}

// Beast throws std::length_error for a longer name or value of a field.
constexpr std::size_t kMaxFieldBytes =
    std::numeric_limits<std::uint16_t>::max() - 2;
// Range of valid status codes (RFC 9110, 15).
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kMinFinalStatus = 200;
// Beast throws an exception for a larger one.
constexpr int kMaxWritableStatus = 999;
constexpr unsigned kHttp11 = 11;  // as Beast writes versions
constexpr std::string_view kChunked = "chunked";

bool IsStatus(int status) {
  return status >= kMinStatus && status <= kMaxStatus;
}

// Beast accepts any three digits as a status.
template <typename ParserType>
void CheckStatus(Http1Progress& progress, const ParserType& parser) {
  if (progress.fault_ != Http1Fault::kNone || !parser.is_header_done()) return;
  if (IsStatus(static_cast<int>(parser.get().result_int()))) return;
  progress.complete_ = false;
  progress.fault_ = Http1Fault::kMalformed;
}

// The length of a message is certain only if its sender and every recipient
// read the same one from it. Beast ignores transfer codings that do not end in
// chunked, and takes the message for one without a body.
Http1Fault FramingFaultOf(const http::fields& fields, unsigned version) {
  const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
  if (first == last) return Http1Fault::kNone;
  // HTTP/1.0 has no transfer codings (RFC 9112, 6.1).
  if (version < kHttp11 || std::next(first) != last ||
      fields.count(http::field::content_length) > 0) {
    return Http1Fault::kMalformed;
  }
  const std::string_view coding = first->value();
  if (boost::beast::iequals(coding, kChunked)) return Http1Fault::kNone;
  const auto last_coding = coding.substr(coding.find_last_of(", \t") + 1);
  return boost::beast::iequals(last_coding, kChunked)
             ? Http1Fault::kUnsupportedCoding
             : Http1Fault::kMalformed;
}

template <typename ParserType>
void CheckFraming(Http1Progress& progress, const ParserType& parser) {
  if (!parser.is_header_done()) return;
  const auto& message = parser.get();
  const Http1Fault fault = FramingFaultOf(message, message.version());
  if (fault == Http1Fault::kNone) return;
  progress.complete_ = false;
  progress.fault_ = fault;
}

bool AreWritable(const HeaderList& headers) {
  return std::all_of(headers.begin(), headers.end(), [](const auto& header) {
    return header.first.size() <= kMaxFieldBytes &&
           header.second.size() <= kMaxFieldBytes;
  });
}

bool ResponseHasNoBody(int status) {
  return status < kMinFinalStatus || status == 204 || status == 304;
}

}  // namespace

std::string_view Http1FaultName(Http1Fault fault) {
  switch (fault) {
    case Http1Fault::kNone:
      return "none";
    case Http1Fault::kMalformed:
      return "malformed";
    case Http1Fault::kHeaderTooLarge:
      return "header too large";
    case Http1Fault::kUnsupportedCoding:
      return "unsupported transfer coding";
    case Http1Fault::kBodyTooLarge:
      return "body too large";
    case Http1Fault::kCutOff:
      return "cut off";
    case Http1Fault::kOutOfMemory:
      return "no memory for its body";
  }
  return "unknown";
}

ClientBuffers operator+(const ClientBuffers& first,
                        const ClientBuffers& second) {
  return {.limit_ = first.limit_ + second.limit_,
          .used_ = first.used_ + second.used_,
          .paused_ = first.paused_ + second.paused_,
          .stalled_ = first.stalled_ + second.stalled_,
          .closed_for_memory_ =
              first.closed_for_memory_ + second.closed_for_memory_,
          .closed_for_places_ =
              first.closed_for_places_ + second.closed_for_places_};
}

std::string_view ClientCutOffName(ClientCutOff reason) {
  switch (reason) {
    case ClientCutOff::kStalled:
      return "takes no responses";
    case ClientCutOff::kMemory:
      return "memory for clients used up";
    case ClientCutOff::kPlaces:
      return "all connections in use";
  }
  return "unknown";
}

const std::string* FindHeader(const HeaderList& headers,
                              std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (SameHeaderName(key, name)) return &value;
  }
  return nullptr;
}

bool SameHeaderName(std::string_view first, std::string_view second) {
  return boost::beast::iequals(first, second);
}

struct Http1RequestReader::Parser {
  explicit Parser(const Http1Limits& limits) : charge_(limits.memory_) {}

  http::request_parser<http::string_body> parser_;
  MemoryCharge charge_;
  // Bytes consumed since the header was complete, including the whole read that
  // completed it.
  std::size_t consumed_ = 0;
  bool started_ = false;
};

Http1RequestReader::Http1RequestReader(const Http1Limits& limits)
    : limits_(limits) {
  Take();
}

Http1RequestReader::~Http1RequestReader() = default;

Http1Progress Http1RequestReader::Read(std::string_view bytes) {
  Http1Progress progress = Feed(parser_->parser_, bytes);
  CheckFraming(progress, parser_->parser_);
  CheckBounds(progress, bytes.size(), limits_, MemoryClaim::kRequest, *parser_);
  // Beast consumes nothing of an incomplete header, so progress.consumed_ does
  // not show that a message has begun.
  if (!bytes.empty()) parser_->started_ = true;
  return progress;
}

bool Http1RequestReader::started() const { return parser_->started_; }

bool Http1RequestReader::header_complete() const {
  return parser_->parser_.is_header_done();
}

std::size_t Http1RequestReader::body_bytes() const {
  return parser_->parser_.get().body().size();
}

bool Http1RequestReader::expects_continue() const {
  if (!header_complete()) return false;
  return boost::beast::iequals(parser_->parser_.get()[http::field::expect],
                               "100-continue");
}

Http1Request Http1RequestReader::Take() {
  Http1Request request;
  if (parser_ && parser_->parser_.is_done()) {
    request.keep_alive_ = parser_->parser_.keep_alive();
    auto message = parser_->parser_.release();
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    request.headers_ = HeadersOf(message.base());
    request.body_ =
        SharedBytes(std::move(message.body()), std::move(parser_->charge_));
  }
  parser_ = std::make_unique<Parser>(limits_);
  parser_->parser_.eager(true);
  SetLimits(limits_);
  return request;
}

void Http1RequestReader::SetLimits(const Http1Limits& limits) {
  limits_ = limits;
  parser_->parser_.header_limit(limits_.max_header_bytes_);
  parser_->parser_.body_limit(limits_.max_body_bytes_);
}

struct Http1ResponseReader::Parser {
  explicit Parser(const Http1Limits& limits) : charge_(limits.memory_) {}

  http::response_parser<http::string_body> parser_;
  MemoryCharge charge_;
  // Bytes consumed since the header was complete, including the whole read that
  // completed it.
  std::size_t consumed_ = 0;
  bool started_ = false;
};

Http1ResponseReader::Http1ResponseReader(const Http1Limits& limits,
                                         bool answers_head)
    : limits_(limits), answers_head_(answers_head) {
  Take();
}

Http1ResponseReader::~Http1ResponseReader() = default;

Http1Progress Http1ResponseReader::Read(std::string_view bytes) {
  Http1Progress progress = Feed(parser_->parser_, bytes);
  CheckStatus(progress, parser_->parser_);
  if (!bytes.empty()) parser_->started_ = true;
  // Skips interim responses (1xx), which precede the final one.
  while (progress.complete_ && !IsFinalStatus(static_cast<int>(
                                   parser_->parser_.get().result_int()))) {
    if (++interim_ > limits_.max_interim_responses_) {
      progress.complete_ = false;
      progress.fault_ = Http1Fault::kMalformed;
      return progress;
    }
    Take();
    const auto rest = bytes.substr(progress.consumed_);
    const Http1Progress next = Feed(parser_->parser_, rest);
    if (!rest.empty()) parser_->started_ = true;
    progress = {.consumed_ = progress.consumed_ + next.consumed_,
                .complete_ = next.complete_,
                .fault_ = next.fault_};
    CheckStatus(progress, parser_->parser_);
  }
  CheckFraming(progress, parser_->parser_);
  CheckBounds(progress, bytes.size(), limits_, MemoryClaim::kResponse,
              *parser_);
  return progress;
}

Http1Progress Http1ResponseReader::ReadEnd() {
  Http1Progress progress;
  if (!parser_->parser_.is_header_done()) {
    progress.fault_ = Http1Fault::kCutOff;
    return progress;
  }
  boost::beast::error_code error;
  parser_->parser_.put_eof(error);
  if (error) progress.fault_ = FaultOf(error);
  progress.complete_ = !error && parser_->parser_.is_done();
  return progress;
}

bool Http1ResponseReader::started() const { return parser_->started_; }

Http1Response Http1ResponseReader::Take() {
  Http1Response response;
  if (parser_ && parser_->parser_.is_done()) {
    response.keep_alive_ = parser_->parser_.keep_alive();
    auto message = parser_->parser_.release();
    response.status_ = static_cast<int>(message.result_int());
    response.headers_ = HeadersOf(message.base());
    response.body_ =
        SharedBytes(std::move(message.body()), std::move(parser_->charge_));
  }
  parser_ = std::make_unique<Parser>(limits_);
  parser_->parser_.eager(true);
  parser_->parser_.skip(answers_head_);
  parser_->parser_.header_limit(limits_.max_header_bytes_);
  parser_->parser_.body_limit(limits_.max_body_bytes_);
  return response;
}

std::string WriteRequest(const Http1Request& request) {
  return ToText(SerializeRequest(request));
}

SerializedMessage SerializeRequest(const Http1Request& request) {
  http::request<http::empty_body> message;
  message.version(11);
  message.method_string(request.method_);
  message.target(request.target_);
  for (const auto& [name, value] : request.headers_) {
    message.insert(name, value);
  }
  const bool with_body = !request.body_.empty() || request.method_ == "POST" ||
                         request.method_ == "PUT" || request.method_ == "PATCH";
  if (with_body) {
    message.set(http::field::content_length,
                std::to_string(request.body_.size()));
  }
  return Serialize(message, request.body_, with_body);
}

std::string WriteResponse(const Http1Response& response, bool answers_head) {
  return ToText(SerializeResponse(response, answers_head));
}

SerializedMessage SerializeResponse(const Http1Response& response,
                                    bool answers_head) {
  http::response<http::empty_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status_));
  for (const auto& [name, value] : response.headers_) {
    message.insert(name, value);
  }
  if (!response.keep_alive_) message.set(http::field::connection, "close");
  const bool no_body = ResponseHasNoBody(response.status_);
  if (!no_body && !answers_head) {
    message.set(http::field::content_length,
                std::to_string(response.body_.size()));
  }
  return Serialize(message, response.body_, !no_body && !answers_head);
}

bool IsWritable(const Http1Request& request) {
  return !request.method_.empty() && AreWritable(request.headers_);
}

bool IsWritable(const Http1Response& response) {
  return response.status_ >= kMinStatus &&
         response.status_ <= kMaxWritableStatus &&
         AreWritable(response.headers_);
}

bool IsFinalStatus(int status) {
  return IsStatus(status) && status >= kMinFinalStatus;
}

void RemoveConnectionHeaders(HeaderList& headers) {
  static const std::array<std::string_view, 9> kConnectionHeaders = {
      "connection", "keep-alive", "proxy-connection",
      "te",         "trailer",    "transfer-encoding",
      "upgrade",    "expect",     "content-length"};
  std::vector<std::string> named;
  for (const auto& [name, value] : headers) {
    if (!SameHeaderName(name, "connection")) continue;
    for (const auto token : http::token_list(value)) {
      named.emplace_back(token);
    }
  }
  // A header section may hold thousands of names and fields.
  std::sort(named.begin(), named.end(), boost::beast::iless{});
  std::erase_if(headers, [&](const auto& header) {
    const auto matches = [&](std::string_view name) {
      return SameHeaderName(header.first, name);
    };
    return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                       matches) ||
           std::binary_search(named.begin(), named.end(), header.first,
                              boost::beast::iless{});
  });
}

}  // namespace jujubefront
