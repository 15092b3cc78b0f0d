// Stand-in for a backend server, for tests and demonstrations.

#include <QCoreApplication>
#include <cxxopts.hpp>
#include <iostream>

#include "backend_model.h"
#include "netio/application.h"

namespace jujubefront {
namespace {

int Main(int argc, char** argv) {
  const auto application = MakeApplication(argc, argv);
  cxxopts::Options options("standin-backend", "Stand-in for a backend server");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
      "node", "HTTP address of the host's node",
      cxxopts::value<std::string>()->default_value(""))(
      "service", "its service", cxxopts::value<std::string>())(
      "child", "service that each request calls",
      cxxopts::value<std::vector<std::string>>()->default_value({}))(
      "slots", "requests at a time",
      cxxopts::value<int>()->default_value("40"))(
      "work-us", "mean time of a request",
      cxxopts::value<std::int64_t>()->default_value("2000"))(
      "seed", "seed of the times",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "journal", "journal file",
      cxxopts::value<std::string>()->default_value(""));
  const auto arguments = options.parse(argc, argv);
  BackendModelOptions model{
      .service_ = arguments["service"].as<std::string>(),
      .node_address_ = arguments["node"].as<std::string>(),
      .slots_ = arguments["slots"].as<int>(),
      .work_ =
          std::chrono::microseconds(arguments["work-us"].as<std::int64_t>()),
      .seed_ = arguments["seed"].as<std::uint64_t>(),
      .journal_path_ = arguments["journal"].as<std::string>()};
  if (arguments.count("child") > 0) {
    model.children_ = arguments["child"].as<std::vector<std::string>>();
  }
  BackendModel backend(std::move(model));
  const auto port = backend.Listen(arguments["listen"].as<std::string>());
  if (port == 0) return 1;
  std::cout << "listening " << port << std::endl;
  return QCoreApplication::exec();
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) { return jujubefront::Main(argc, argv); }
