// Starts the sample system Brolga at small size, sends reads and callouts
// through every host and prints the calls by class and serving host.

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <csignal>
#include <iostream>
#include <map>

#include "cluster.h"
#include "commandline/program.h"
#include "netio/application.h"
#include "operations/tables.h"

namespace jujubefront {
namespace {

constexpr Duration kStartTimeout = std::chrono::seconds(60);
constexpr Duration kStopTimeout = std::chrono::seconds(40);
constexpr int kCallsPerEntry = 10;

// Number of calls by class and serving target.
using ServedCounts = std::map<std::pair<std::string, std::string>, int>;

bool IsCompleteAnswerTo(const CallerAnswer& answer, const std::string& mark) {
  if (answer.status_ != 200) return false;
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(answer.body_)).object();
  const QString path = object.value(QLatin1String("path")).toString();
  return path.endsWith(QString::fromStdString(mark)) &&
         answer.body_.find("\"service\":\"dispatch\"") != std::string::npos;
}

bool SendCalls(Cluster& cluster, ServedCounts& served) {
  HttpCaller caller;
  bool all = true;
  int number = 0;
  for (const std::string& entry : cluster.HostNames()) {
    for (int i = 0; i < kCallsPerEntry; ++i) {
      const bool read = i % 2 == 0;
      const std::string mark = "mark=" + std::to_string(++number);
      const auto answer =
          caller.Call({.address_ = cluster.HttpAddress(entry),
                       .method_ = read ? "GET" : "POST",
                       .path_ = "/repair-jobs/callouts?" + mark,
                       .headers_ = {{"Jujubefront-Customer", "demo"}},
                       .body_ = read ? "" : "{\"gate\":1}"});
      const bool complete = IsCompleteAnswerTo(answer, mark);
      if (!complete) {
        std::cerr << "call " << number << " through " << entry << ": status "
                  << answer.status_ << ' ' << answer.body_ << '\n';
      }
      all = all && complete;
      const auto by = answer.headers_.find("jujubefront-served-by");
      ++served[{read ? "status" : "callout",
                by == answer.headers_.end() ? "nobody" : by->second}];
    }
  }
  return all;
}

void PrintServed(const ServedCounts& served) {
  std::vector<std::vector<std::string>> rows = {
      {"CLASS", "SERVED BY", "CALLS"}};
  for (const auto& [key, count] : served) {
    rows.push_back({key.first, key.second, std::to_string(count)});
  }
  std::cout << FormatTable(rows);
}

bool StopAll(Cluster& cluster) {
  for (const std::string& name : cluster.HostNames()) {
    cluster.SignalNode(name, SIGTERM);
  }
  bool clean = true;
  for (const std::string& name : cluster.HostNames()) {
    const int code = cluster.WaitNodeExit(name, kStopTimeout);
    if (code != 0) std::cerr << name << " ended with " << code << '\n';
    clean = clean && code == 0;
  }
  return clean;
}

void PrintAddresses(const Cluster& cluster) {
  std::vector<std::vector<std::string>> rows = {{"HOST", "HTTP", "CONTROL"}};
  for (const std::string& name : cluster.HostNames()) {
    rows.push_back(
        {name, cluster.HttpAddress(name), cluster.ControlAddress(name)});
  }
  std::cout << FormatTable(rows) << "shared log: " << cluster.LogAddress()
            << "\ntry: curl -i http://"
            << cluster.HttpAddress(cluster.HostNames().front())
            << "/repair-jobs/jobs/7\npress Enter to stop\n"
            << std::flush;
}

int Fail(const char* what) {
  std::cerr << "demo: " << what << '\n';
  return 1;
}

int Run(const cxxopts::ParseResult& arguments) {
  Cluster cluster;
  if (!cluster.StartLog()) return Fail("the shared log did not start");
  for (const HostSpec& host : SmallBrolga()) {
    if (!cluster.StartHost(host)) return Fail("a host did not start");
  }
  if (!cluster.PublishSample("brolga")) return Fail("publishing failed");
  if (!cluster.WaitServing(kStartTimeout)) return Fail("no host serves");
  ServedCounts served;
  const bool all = SendCalls(cluster, served);
  PrintServed(served);
  if (arguments.count("keep") > 0) {
    PrintAddresses(cluster);
    std::cin.get();
  }
  const bool clean = StopAll(cluster);
  if (!all) return Fail("some calls did not get their own whole answer");
  if (!clean) return Fail("some nodes did not stop cleanly");
  std::cout << "every call got its own whole answer; all nodes stopped "
               "cleanly\n";
  return 0;
}

}  // namespace
}  // namespace jujubefront

int main(int argc, char** argv) {
  const auto application = jujubefront::MakeApplication(argc, argv);
  return jujubefront::RunProgram(
      {.name_ = "jujubefront-demo",
       .description_ = "Small system of processes",
       .add_options_ =
           [](cxxopts::Options& options) {
             options.add_options()(
                 "keep", "leave the system up until Enter is pressed");
           },
       .run_ = jujubefront::Run},
      argc, argv);
}
