#include "operations/control_client.h"

#include <QEventLoop>
#include <QTimer>
#include <optional>

#include "http1/http1_client.h"

namespace jujubefront {
namespace {

constexpr std::uint64_t kCall = 1;
constexpr int kFirstErrorStatus = 400;

boost::leaf::result<std::string> Transfer(const std::string& address,
                                          const Http1Request& request,
                                          Duration timeout) {
  std::optional<Http1Response> response;
  QEventLoop loop;
  Http1Client client(
      {}, {.on_response_ =
               [&](std::uint64_t, Http1Response received) {
                 response = std::move(received);
                 loop.quit();
               },
           .on_failure_ = [&](std::uint64_t, Http1Failure) { loop.quit(); }});
  client.SetAddress(address);
  client.Send(kCall, request);
  QTimer::singleShot(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout), &loop,
      &QEventLoop::quit);
  loop.exec();
  if (!response || response->status_ >= kFirstErrorStatus) {
    return boost::leaf::new_error(ControlUnreachable{address});
  }
  return response->body_.str();
}

}  // namespace

boost::leaf::result<std::string> FetchPage(const std::string& address,
                                           const std::string& path,
                                           Duration timeout,
                                           const std::string& key) {
  Http1Request request{
      .method_ = "GET", .target_ = path, .headers_ = {{"Host", address}}};
  if (!key.empty()) {
    request.headers_.emplace_back("Authorization", "Bearer " + key);
  }
  return Transfer(address, request, timeout);
}

boost::leaf::result<std::string> PostPage(const std::string& address,
                                          const std::string& path,
                                          Duration timeout) {
  return Transfer(
      address,
      {.method_ = "POST", .target_ = path, .headers_ = {{"Host", address}}},
      timeout);
}

}  // namespace jujubefront
