// Measures added latency and idle cost by size.

#include <QCoreApplication>
#include <iostream>

#include "commandline/program.h"
#include "measures.h"
#include "netio/application.h"

namespace jujubefront {
namespace {

int Run(const cxxopts::ParseResult& arguments) {
  bool ok = true;
  if (arguments.count("idle") == 0) ok = MeasureAddedLatency();
  std::cout << std::endl;
  if (ok && arguments.count("latency") == 0) {
    ok = MeasureIdleCost(arguments["nodes"].as<std::size_t>());
  }
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  const auto application = jujubefront::MakeApplication(argc, argv);
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-slopes",
       .description_ = "Measures added latency and idle cost by size",
       .add_options_ =
           [](cxxopts::Options& options) {
             options.add_options()("latency", "only the added latency")(
                 "idle", "only the idle cost")(
                 "nodes", "largest number of nodes",
                 cxxopts::value<std::size_t>()->default_value("240"));
           },
       .run_ = jujubefront::Run},
      argc, argv);
}
