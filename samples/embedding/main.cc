// Embeds the decision logic of the relay in another program: the program feeds
// events to the reducer and performs the effects that it returns. The reducer
// uses no threads, clocks or sockets.

#include <iostream>

#include "relay/relay.h"
#include "routes/routes.h"

namespace jujubefront {
namespace {

RouteTable OneRoute() {
  RouteTable table;
  table.version_ = 1;
  table.routes_ = {{.name_ = "callouts",
                    .host_ = "desk.example",
                    .path_prefix_ = "/callouts/",
                    .services_ = {{"dispatch", 1.0}}}};
  IndexRoutes(table);
  return table;
}

int Run() {
  const RelayOptions options{.address_ = "127.0.0.1:7000",
                             .zone_ = "zone-a",
                             .region_ = "region-a",
                             .service_ = "dispatch",
                             .backend_address_ = "127.0.0.1:8000",
                             .boot_ = 1,
                             .seed_ = 1};
  Timestamp now{std::chrono::seconds(1)};
  std::vector<RelayEffect> effects;
  RelayState state = MakeRelay(options, now, effects);
  const auto feed = [&](RelayEventBody body) {
    now += std::chrono::milliseconds(1);
    return StepRelay(state, options, {now, std::move(body)});
  };
  feed(TableRead{.table_ = OneRoute(), .text_ = "table"});
  // This program keeps no departures. Heartbeats wait for this answer.
  feed(DeparturesRead{});
  feed(BackendHeartbeat{.instance_ = "i-1",
                        .service_ = "dispatch",
                        .address_ = options.backend_address_,
                        .started_at_ms_ = 1,
                        .sequence_ = 1,
                        .slots_ = 4});
  for (const RelayEffect& effect :
       feed(RequestArrived{.request_id_ = 1,
       .trace_id_ = "first",
       .host_ = "desk.example",
       .request_ = {.method_ = "POST", .target_ = "/callouts/17"}})) {
    const auto* run = std::get_if<StartRun>(&effect);
    if (run == nullptr) continue;
    std::cout << "hand request " << run->request_.target_ << " to instance "
              << run->instance_ << " at " << run->address_ << '\n';
    Http1Response response{.status_ = 200};
    response.body_ = "booked";
    for (const RelayEffect& after : feed(BackendResponded{
             .run_id_ = run->run_id_, .response_ = std::move(response)})) {
      const auto* answer = std::get_if<AnswerRequest>(&after);
      if (answer == nullptr) continue;
      std::cout << "answer with " << answer->response_.status_ << ", "
                << answer->response_.body_ << '\n';
      return 0;
    }
  }
  std::cerr << "the request was not answered\n";
  return 1;
}

}  // namespace
}  // namespace jujubefront

int main() { return jujubefront::Run(); }
